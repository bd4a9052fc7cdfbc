package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// PutStartLogPage writes a page of the start log.
type PutStartLogPage struct {
	Name    string
	Version uint64
	Record  fleet.StartLogRecord
}

// Kind implements Write.
func (PutStartLogPage) Kind() string { return "put start log page" }

// Target implements Write.
func (w PutStartLogPage) Target() string { return w.Name }

// JobRef implements Write.
func (PutStartLogPage) JobRef() string { return "" }

// Encode implements Write.
func (w PutStartLogPage) Encode(encoder WriteEncoder) error { return encoder.PutStartLogPage(w) }

func (PutStartLogPage) ops() int { return 1 }

func (w PutStartLogPage) started(e *Engine, _ time.Time) { e.startLog.writeStarted(w.Name) }

func (w PutStartLogPage) succeeded(e *Engine, now time.Time, revision uint64) {
	e.startLog.written(now, w, revision)
}

func (w PutStartLogPage) failed(e *Engine, versions map[string]uint64) {
	e.startLog.writeFailed(w.Name, versions)
}

func (w PutStartLogPage) rejected(e *Engine, now time.Time) { e.startLogPageRejected(now, w.Name) }

// DeleteStartLogPage deletes a page of the start log without any attempts left.
type DeleteStartLogPage struct {
	Name    string
	Version uint64
}

// Kind implements Write.
func (DeleteStartLogPage) Kind() string { return "delete start log page" }

// Target implements Write.
func (w DeleteStartLogPage) Target() string { return w.Name }

// JobRef implements Write.
func (DeleteStartLogPage) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteStartLogPage) Encode(encoder WriteEncoder) error { return encoder.DeleteStartLogPage(w) }

func (DeleteStartLogPage) ops() int { return 1 }

func (w DeleteStartLogPage) started(e *Engine, _ time.Time) { e.startLog.writeStarted(w.Name) }

func (w DeleteStartLogPage) succeeded(e *Engine, now time.Time, _ uint64) {
	e.startLog.deleted(now, w.Name)
}

func (w DeleteStartLogPage) failed(e *Engine, versions map[string]uint64) {
	e.startLog.writeFailed(w.Name, versions)
}

func (w DeleteStartLogPage) rejected(e *Engine, now time.Time) { e.startLogPageRejected(now, w.Name) }

// startLogPageRejected withdraws the starts that wait for a page of the start log which the store
// rejects. They are placed again, on a page with less on it.
func (e *Engine) startLogPageRejected(now time.Time, name string) {
	p := e.startLog.page(name)
	if p == nil {
		return
	}
	for _, a := range p.Unwritten() {
		e.stop(now, a.Machine, a, 0)
	}
	e.startLog.rejected(now, p)
}
