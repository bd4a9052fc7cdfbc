package core

import (
	"time"

	"gingertally/internal/drain"
)

// PutChargePage writes a page of the ledger of charges.
type PutChargePage struct {
	Name    string
	Version uint64
	Record  drain.ChargePage
}

// Kind implements Write.
func (PutChargePage) Kind() string { return "put charge page" }

// Target implements Write.
func (w PutChargePage) Target() string { return w.Name }

// JobRef implements Write.
func (PutChargePage) JobRef() string { return "" }

// Encode implements Write.
func (w PutChargePage) Encode(encoder WriteEncoder) error { return encoder.PutChargePage(w) }

func (PutChargePage) ops() int { return 1 }

func (w PutChargePage) started(e *Engine, _ time.Time) {
	e.drains.coordinator.Ledger.WriteStarted(w.Name)
}

func (w PutChargePage) succeeded(e *Engine, _ time.Time, revision uint64) {
	e.chargePageWritten(w.Name, false, drain.PageWriteOutcome{OK: true, Version: revision})
}

func (w PutChargePage) failed(e *Engine, versions map[string]uint64) {
	e.chargePageWritten(w.Name, false, failedOutcome(w.Name, versions))
}

func (w PutChargePage) rejected(e *Engine, _ time.Time) {
	e.drains.coordinator.Ledger.PageRejected(w.Name)
}

// DeleteChargePage deletes a page of the ledger whose charges don't count anywhere any more.
type DeleteChargePage struct {
	Name    string
	Version uint64
}

// Kind implements Write.
func (DeleteChargePage) Kind() string { return "delete charge page" }

// Target implements Write.
func (w DeleteChargePage) Target() string { return w.Name }

// JobRef implements Write.
func (DeleteChargePage) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteChargePage) Encode(encoder WriteEncoder) error { return encoder.DeleteChargePage(w) }

func (DeleteChargePage) ops() int { return 1 }

func (w DeleteChargePage) started(e *Engine, _ time.Time) {
	e.drains.coordinator.Ledger.WriteStarted(w.Name)
}

func (w DeleteChargePage) succeeded(e *Engine, _ time.Time, _ uint64) {
	e.chargePageWritten(w.Name, true, drain.PageWriteOutcome{OK: true})
}

func (w DeleteChargePage) failed(e *Engine, versions map[string]uint64) {
	e.chargePageWritten(w.Name, true, failedOutcome(w.Name, versions))
}

func (w DeleteChargePage) rejected(e *Engine, _ time.Time) {
	e.drains.coordinator.Ledger.PageRejected(w.Name)
}

// PutDrainMachinePage writes a page with the drain states of machines.
type PutDrainMachinePage struct {
	Name    string
	Version uint64
	Record  drain.MachinePage
}

// Kind implements Write.
func (PutDrainMachinePage) Kind() string { return "put cordon page" }

// Target implements Write.
func (w PutDrainMachinePage) Target() string { return w.Name }

// JobRef implements Write.
func (PutDrainMachinePage) JobRef() string { return "" }

// Encode implements Write.
func (w PutDrainMachinePage) Encode(encoder WriteEncoder) error {
	return encoder.PutDrainMachinePage(w)
}

func (PutDrainMachinePage) ops() int { return 1 }

func (w PutDrainMachinePage) started(e *Engine, _ time.Time) {
	e.drains.coordinator.MachinePageWriteStarted(w.Name)
}

func (w PutDrainMachinePage) succeeded(e *Engine, _ time.Time, revision uint64) {
	e.cordonPageWritten(w.Name, drain.PageWriteOutcome{OK: true, Version: revision})
}

func (w PutDrainMachinePage) failed(e *Engine, versions map[string]uint64) {
	e.cordonPageWritten(w.Name, failedOutcome(w.Name, versions))
}

func (w PutDrainMachinePage) rejected(e *Engine, _ time.Time) {
	e.drains.coordinator.MachinePageRejected(w.Name)
}

// DeleteDrainMachinePage deletes a page with the drain states of machines that no longer names any.
type DeleteDrainMachinePage struct {
	Name    string
	Version uint64
}

// Kind implements Write.
func (DeleteDrainMachinePage) Kind() string { return "delete cordon page" }

// Target implements Write.
func (w DeleteDrainMachinePage) Target() string { return w.Name }

// JobRef implements Write.
func (DeleteDrainMachinePage) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteDrainMachinePage) Encode(encoder WriteEncoder) error {
	return encoder.DeleteDrainMachinePage(w)
}

func (DeleteDrainMachinePage) ops() int { return 1 }

func (w DeleteDrainMachinePage) started(e *Engine, _ time.Time) {
	e.drains.coordinator.MachinePageWriteStarted(w.Name)
}

func (w DeleteDrainMachinePage) succeeded(e *Engine, _ time.Time, _ uint64) {
	e.cordonPageWritten(w.Name, drain.PageWriteOutcome{OK: true})
}

func (w DeleteDrainMachinePage) failed(e *Engine, versions map[string]uint64) {
	e.cordonPageWritten(w.Name, failedOutcome(w.Name, versions))
}

func (w DeleteDrainMachinePage) rejected(e *Engine, _ time.Time) {
	e.drains.coordinator.MachinePageRejected(w.Name)
}

// failedOutcome returns the outcome of a write that isn't known to have happened, with the version
// of its page if that was read afterwards.
func failedOutcome(name string, versions map[string]uint64) drain.PageWriteOutcome {
	version, known := versions[name]
	return drain.PageWriteOutcome{Version: version, Known: known}
}

// chargePageWritten passes the outcome of the write of a page to the ledger of charges.
func (e *Engine) chargePageWritten(name string, deleted bool, outcome drain.PageWriteOutcome) {
	e.drains.coordinator.Ledger.PageWritten(drain.ChargePageWrite{Name: name, Delete: deleted}, outcome)
}

// cordonPageWritten passes the outcome of the write of a page to the coordinator. Machines that the
// stored page no longer names may be uncordoned now.
func (e *Engine) cordonPageWritten(name string, outcome drain.PageWriteOutcome) {
	for _, machine := range e.drains.coordinator.MachinePageWritten(name, outcome) {
		if m := e.machines.get(machine); m != nil {
			e.applyCordon(m)
		}
	}
}
