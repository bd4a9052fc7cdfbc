package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// The warm state is what a leader knows and the state service doesn't hold. It is replicated to the
// standbys as a table of small records that follows every change, so that the next leader needn't
// learn it anew. It only saves time: no record of it proves anything gone or stored
// (docs/design.md, "Warm standby").

// WarmKind is the kind of a record of the warm state.
type WarmKind uint8

// Kinds of records.
const (
	WarmMachineKind WarmKind = iota + 1
	WarmAttemptKind
	WarmClassKind
	WarmBackoffKind
	WarmJobKind
)

// WarmKey identifies a record of the warm state.
type WarmKey struct {
	Kind WarmKind
	Name string // of the machine, class or job; of an attempt its job, of a back-off the machine type
	Task int    // of an attempt
	Spot bool   // of a back-off
	Zone string // of a back-off
}

// compareWarmKeys compares keys in a fixed order, so that equal states give equal streams.
func compareWarmKeys(a, b WarmKey) int {
	spot := 0
	if a.Spot != b.Spot {
		spot = 1
		if b.Spot {
			spot = -1
		}
	}
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Zone, b.Zone), spot)
}

// WarmMachine is a machine as the leader last knew it.
type WarmMachine struct {
	Name          string      `cbor:"n"`
	Addr          string      `cbor:"a,omitempty"`
	Type          string      `cbor:"t"`
	Zone          string      `cbor:"z"`
	Spot          bool        `cbor:"p,omitempty"`
	Reporting     bool        `cbor:"r,omitempty"` // live, and responses reach it
	Booting       bool        `cbor:"b,omitempty"`
	Quarantined   bool        `cbor:"s,omitempty"`
	Draining      bool        `cbor:"d,omitempty"`
	ListedRunning bool        `cbor:"l,omitempty"`
	Failures      int         `cbor:"e,omitempty"`
	FailedJobs    []string    `cbor:"j,omitempty"`
	FirstSeenMS   int64       `cbor:"f,omitempty"`
	IdleSinceMS   int64       `cbor:"i,omitempty"`
	Images        []WarmImage `cbor:"g,omitempty"`
}

// WarmImage is an image that a machine is believed to have.
type WarmImage struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	GB      float64
	ReadyMS int64
}

// WarmAttempt is an attempt that is, or may be, on a machine.
type WarmAttempt struct {
	Ref        string `cbor:"j"`
	Task       int    `cbor:"t,omitempty"`
	Number     uint64 `cbor:"n"`
	Machine    string `cbor:"m"`
	RunStartMS int64  `cbor:"r,omitempty"` // 0: isn't known to have run
}

// WarmClass is what the leader has learned about a class of jobs.
type WarmClass struct {
	Name        string         `cbor:"n"`
	Runs        int            `cbor:"r,omitempty"`
	Ratio       float64        `cbor:"q"`
	Rate        float64        `cbor:"v,omitempty"`
	LastReadyMS int64          `cbor:"l,omitempty"`
	Spec        *pipeline.Spec `cbor:"s,omitempty"`
}

// WarmBackoff is the back-off of an offer of machines that the cloud has refused recently.
type WarmBackoff struct {
	Type     string `cbor:"t"`
	Zone     string `cbor:"z"`
	Spot     bool   `cbor:"p,omitempty"`
	UntilMS  int64  `cbor:"u"`
	Refusals int    `cbor:"r"`
}

// WarmJob lists the machines that a job avoids since it has failed there, and until when.
type WarmJob struct {
	Ref    string      `cbor:"j"`
	Avoids []WarmAvoid `cbor:"a"` // by machine
}

// WarmAvoid is a machine that a job avoids, and until when.
type WarmAvoid struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	UntilMS int64
}

// WarmRecord is a record of the warm state. Exactly one of the pointers is set; if none is, the
// record no longer exists.
type WarmRecord struct {
	Key     WarmKey
	Machine *WarmMachine
	Attempt *WarmAttempt
	Class   *WarmClass
	Backoff *WarmBackoff
	Job     *WarmJob
}

// warmChangeSet holds the keys of the records of the warm state that have changed since they were
// last taken. A nil set keeps nothing.
type warmChangeSet struct{ changed map[WarmKey]bool }

func newWarmChangeSet() *warmChangeSet { return &warmChangeSet{changed: map[WarmKey]bool{}} }

// note records that a record has changed.
func (f *warmChangeSet) note(key WarmKey) {
	if f != nil {
		f.changed[key] = true
	}
}

func (f *warmChangeSet) noteMachine(name string) { f.note(WarmKey{Kind: WarmMachineKind, Name: name}) }

func (f *warmChangeSet) noteAttempt(a *fleet.Attempt) {
	f.note(WarmKey{Kind: WarmAttemptKind, Name: a.Ref, Task: a.Task})
}

func (f *warmChangeSet) noteClass(name string) { f.note(WarmKey{Kind: WarmClassKind, Name: name}) }

func (f *warmChangeSet) noteBackoff(o fleet.PoolKey) {
	f.note(WarmKey{Kind: WarmBackoffKind, Name: o.Type, Zone: o.Zone, Spot: o.Spot})
}

func (f *warmChangeSet) noteJob(ref string) { f.note(WarmKey{Kind: WarmJobKind, Name: ref}) }

// take returns the keys of changed records in a fixed order, at most limit of them, and removes
// them from the set.
func (f *warmChangeSet) take(limit int) []WarmKey {
	if f == nil || len(f.changed) == 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(f.changed), compareWarmKeys)
	keys = keys[:min(limit, len(keys))]
	for _, key := range keys {
		delete(f.changed, key)
	}
	return keys
}

// WarmChanges returns the records of the warm state that have changed since the last call, at most
// limit of them; the rest is left for the next call. It returns none unless Config.WarmState is
// set.
func (e *Engine) WarmChanges(now time.Time, limit int) []WarmRecord {
	var records []WarmRecord
	for _, key := range e.warm.take(limit) {
		records = append(records, e.warmRecord(now, key))
	}
	return records
}

// warmRecord returns a record with its present content.
func (e *Engine) warmRecord(now time.Time, key WarmKey) WarmRecord {
	record := WarmRecord{Key: key}
	switch key.Kind {
	case WarmMachineKind:
		record.Machine = e.warmMachine(key.Name)
	case WarmAttemptKind:
		record.Attempt = e.warmAttempt(fleet.TaskID{Ref: key.Name, Task: key.Task})
	case WarmClassKind:
		record.Class = e.warmClass(key.Name)
	case WarmBackoffKind:
		record.Backoff = e.warmBackoff(now, fleet.PoolKey{Type: key.Name, Zone: key.Zone, Spot: key.Spot})
	case WarmJobKind:
		record.Job = e.warmJob(now, key.Name)
	}
	return record
}

func (e *Engine) warmMachine(name string) *WarmMachine {
	m := e.machines.get(name)
	if m == nil {
		return nil
	}
	h := m.History()
	w := &WarmMachine{
		Name: m.Name, Addr: m.Addr(), Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Reporting: m.State() == fleet.Live && !m.OneWayLoss.Unreachable(), Booting: m.State() == fleet.Booting,
		Quarantined: h.Quarantined, Draining: h.Draining, ListedRunning: h.ListedRunning,
		Failures: h.Failures, FailedJobs: h.FailedJobs,
		FirstSeenMS: h.FirstSeen.UnixMilli(), IdleSinceMS: h.IdleSince.UnixMilli(),
	}
	for _, image := range m.Images() {
		w.Images = append(w.Images, WarmImage{Name: image.Name, GB: image.GB, ReadyMS: image.Ready.UnixMilli()})
	}
	return w
}

func (e *Engine) warmAttempt(task fleet.TaskID) *WarmAttempt {
	j := e.jobs.get(task.Ref)
	if j == nil || task.Task >= len(j.Tasks) {
		return nil
	}
	m := e.machines.get(j.Tasks[task.Task].Machine)
	if m == nil {
		return nil
	}
	a := m.Attempt(task)
	if a == nil || a.State() == fleet.Exited || a.Unwanted {
		return nil
	}
	w := &WarmAttempt{Ref: a.Ref, Task: a.Task, Number: a.Number, Machine: m.Name}
	if !a.RunStart.IsZero() {
		w.RunStartMS = a.RunStart.UnixMilli()
	}
	return w
}

func (e *Engine) warmClass(name string) *WarmClass {
	c := e.classes[name]
	if c == nil {
		return nil
	}
	w := &WarmClass{Name: name, Runs: c.runs, Ratio: c.ratio, Rate: c.rate, Spec: c.spec}
	if !c.lastAt.IsZero() {
		w.LastReadyMS = c.lastAt.UnixMilli()
	}
	return w
}

func (e *Engine) warmBackoff(now time.Time, o fleet.PoolKey) *WarmBackoff {
	b, refused := e.plan.Backoff(o)
	if !refused || !b.Until.After(now) {
		return nil
	}
	return &WarmBackoff{Type: o.Type, Zone: o.Zone, Spot: o.Spot, UntilMS: b.Until.UnixMilli(), Refusals: b.Refusals}
}

func (e *Engine) warmJob(now time.Time, ref string) *WarmJob {
	j := e.jobs.get(ref)
	if j == nil || len(j.AvoidUntil) == 0 {
		return nil
	}
	w := &WarmJob{Ref: ref}
	for _, machine := range slices.Sorted(maps.Keys(j.AvoidUntil)) {
		if until := j.AvoidUntil[machine]; until.After(now) {
			w.Avoids = append(w.Avoids, WarmAvoid{Machine: machine, UntilMS: until.UnixMilli()})
		}
	}
	if len(w.Avoids) == 0 {
		return nil
	}
	return w
}
