package core

import (
	"fmt"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// inherit takes over what the records say may be on machines. Of several
// entries for one task only the highest attempt can be current: it was written
// only after the ones before it were proven gone.
func (e *Engine) inherit(now time.Time, stored []StoredMachine) {
	type place struct {
		m *fleet.Machine
		n uint64
	}
	newest := map[fleet.Key]place{}
	for _, s := range stored {
		m := fleet.NewMachine(now, s.Name, s.Record.Type, s.Record.Zone, s.Record.Spot, fleet.Unheard)
		m.Addr, m.LastHeard, m.LeaseBase = s.Record.Addr, now, now
		m.SetRecorded(s.Record, s.Version)
		e.machines[m.Name] = m
		for _, en := range s.Record.Entries {
			k := fleet.Key{Ref: en.Ref, Task: en.Task}
			if p, ok := newest[k]; !ok || en.Attempt > p.n {
				newest[k] = place{m, en.Attempt}
			}
		}
	}
	for k, p := range newest {
		j := e.jobs[k.Ref]
		if j == nil || k.Task >= len(j.Tasks) || j.Tasks[k.Task].State() == pipeline.Finished {
			continue // should it still be there, the machine's report will say so
		}
		a := &fleet.Attempt{Key: k, Number: p.n, Inherit: true, CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image}
		e.attach(now, p.m, a, fleet.Recorded)
		j.Assign(k.Task, p.m.Name, p.n)
	}
}

// ListedMachine is one machine of the cloud's list.
type ListedMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 ListStatus
	Held                   time.Duration
}

// ListStatus is a machine's state in the cloud's list.
type ListStatus uint8

// States in the cloud's list.
const (
	ListStarting ListStatus = iota
	ListRunning
	ListFailed
)

// Listed brings the cloud's list. It lags and may be older than the last one:
// what it says is a hint, and proves nothing gone.
type Listed struct{ Machines []ListedMachine }

func (l Listed) apply(e *Engine, now time.Time) {
	e.lastList = now
	for _, lm := range l.Machines {
		if _, gone := e.gone[lm.Name]; gone {
			continue
		}
		m := e.machines[lm.Name]
		if m == nil {
			m = fleet.NewMachine(now, lm.Name, lm.Type, lm.Zone, lm.Spot, fleet.Booting)
			m.Confirmed = true // no record names it
			m.FirstSeen = now.Add(-lm.Held)
			e.machines[m.Name] = m
			e.replan = true
		}
		m.ListedAt = now
		if m.Addr == "" {
			m.Addr = lm.Addr
		}
		if lm.Status == ListFailed {
			e.release(now, m, "failed")
		}
	}
}

// Rented brings the answer to a request for machines.
type Rented struct {
	Rent     Rent
	Machines []string // those rented
	Refused  bool     // no capacity
	Unknown  bool     // given up without an answer; the list will tell
}

func (r Rented) apply(e *Engine, now time.Time) {
	o := capacity.Offer{Type: r.Rent.Type, Zone: r.Rent.Zone, Spot: r.Rent.Spot}
	e.plan.Answered(now, o, r.Rent.Count, len(r.Machines), r.Refused, r.Unknown)
	for _, name := range r.Machines {
		if _, gone := e.gone[name]; gone || e.machines[name] != nil {
			continue
		}
		m := fleet.NewMachine(now, name, r.Rent.Type, r.Rent.Zone, r.Rent.Spot, fleet.Booting)
		m.Confirmed = true
		e.machines[name] = m
	}
	e.replan = true
	e.note("rental", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", r.Rent.Count, "got", len(r.Machines), "refused", r.Refused)
}

// Released says that the cloud answered a release with 200: the machines and
// all on them are gone. OK false: unknown, to be tried again.
type Released struct {
	Machines []string
	OK       bool
}

func (r Released) apply(e *Engine, now time.Time) {
	for _, name := range r.Machines {
		m := e.machines[name]
		if m == nil {
			continue
		}
		if !r.OK {
			m.ReleaseTries++
			m.HoldUntil = now.Add(time.Second)
			continue
		}
		e.bury(now, m)
	}
}

// bury removes a machine that is proven gone with all on it.
func (e *Engine) bury(now time.Time, m *fleet.Machine) {
	m.Move(fleet.Gone)
	for _, a := range sortedAttempts(m) {
		if a.State() == fleet.Exited {
			m.Drop(now, a.Key)
			e.unforgotten(now, a)
			continue
		}
		e.lost(now, m, a, "machine gone")
	}
	if m.Version != 0 {
		e.orphans[m.Name] = m.Version
	}
	delete(e.machines, m.Name)
	e.gone[m.Name] = now
	e.replan = true
	e.note("machine gone", "machine", m.Name)
}

// release gives a machine back; the answer proves all on it gone.
func (e *Engine) release(now time.Time, m *fleet.Machine, why string) {
	if m.State() == fleet.Releasing && (m.ReleaseTries == 0 || now.Before(m.HoldUntil)) {
		return
	}
	if m.Move(fleet.Releasing) {
		e.note("machine released", "machine", m.Name, "type", m.Type, "why", why, "busy", m.Busy())
	}
	m.Draining, m.ReleaseTries = true, 0
	n := len(e.out.Release)
	if n == 0 || len(e.out.Release[n-1]) >= maxRelease {
		e.out.Release = append(e.out.Release, nil)
		n++
	}
	e.out.Release[n-1] = append(e.out.Release[n-1], m.Name)
}

// maxRelease is how many machines one release may name (PROTOCOL).
const maxRelease = 100

// watchMachines notes silence, ended leases, and boots that take too long.
func (e *Engine) watchMachines(now time.Time) {
	for _, m := range e.sortedMachines() {
		switch m.State() {
		case fleet.Releasing:
			if m.ReleaseTries > 0 {
				e.release(now, m, "again")
			}
		case fleet.Booting:
			if t, ok := e.catalog[m.Type]; ok && now.Sub(m.FirstSeen) > e.bootLimit(t.Boot) {
				e.release(now, m, "never came up")
			}
		case fleet.Live, fleet.Silent, fleet.Unheard:
			e.watchSilence(now, m)
		}
		if m.Sick || m.Draining || m.State() == fleet.Silent {
			e.withdrawUnsent(now, m)
		}
		if m.State() == fleet.Live && (m.Sick || m.Draining) && m.Busy() == 0 && !e.owesForget(m) {
			e.release(now, m, "drained")
		}
	}
	for name, at := range e.gone {
		if now.Sub(at) > goneMemory {
			delete(e.gone, name)
		}
	}
}

// withdrawUnsent takes back starts that haven't left from a machine that gets
// no more of them; they would wait there for good.
func (e *Engine) withdrawUnsent(now time.Time, m *fleet.Machine) {
	for _, a := range sortedAttempts(m) {
		if a.State() <= fleet.Recorded && !a.Inherit {
			e.stop(now, m, a, 0)
			e.gangBroken(now, a)
		}
	}
}

// goneMemory is how long the names of machines that are gone are kept, for
// messages and lists that are late.
const goneMemory = 15 * time.Minute

// bootLimit is after how long a boot is given up: boots usually take up to one
// and a half times the nominal time, some several times as long.
func (e *Engine) bootLimit(boot time.Duration) time.Duration {
	return 4*boot + 2*e.cfg.ListLag + 10*time.Second
}

// owesForget tells whether results on a machine are not yet written.
func (e *Engine) owesForget(m *fleet.Machine) bool {
	for _, a := range m.Tasks {
		if a.State() == fleet.Exited && !a.Handled {
			return true
		}
	}
	return false
}

// vanished tells whether the cloud no longer lists a machine that it did: hint
// enough to release it before its worker's lease has ended, which proves all on
// it gone. Machines that only hang stay listed, and are waited for.
func (e *Engine) vanished(m *fleet.Machine) bool {
	return !m.ListedAt.IsZero() && e.lastList.Sub(m.ListedAt) > 2*e.cfg.ListLag+4*time.Second
}

// silentAfter is when a machine that doesn't report gets no more starts: two
// reports have then failed to arrive, with a change of node between them.
func (e *Engine) silentAfter() time.Duration { return 2*e.cfg.ReportEvery + 5*time.Second }

func (e *Engine) watchSilence(now time.Time, m *fleet.Machine) {
	quiet := now.Sub(m.LastHeard)
	if m.State() == fleet.Live && quiet > e.silentAfter() && m.Move(fleet.Silent) {
		e.note("machine silent", "machine", m.Name, "busy", m.Busy())
		e.replan = true
	}
	if m.State() != fleet.Live && quiet > e.silentAfter() && e.vanished(m) {
		e.release(now, m, fmt.Sprintf("silent for %s", quiet.Round(time.Second)))
		return
	}
	if !m.LeaseOver(now, e.cfg.Lease) {
		return
	}
	m.Move(fleet.Silent) // whatever is placed on it now would be counted as gone at once
	if m.Busy() > 0 {
		e.note("lease over", "machine", m.Name, "busy", m.Busy())
	}
	for _, a := range sortedAttempts(m) {
		if a.State() != fleet.Exited {
			e.lost(now, m, a, "lease over")
		}
	}
	if quiet > e.cfg.Lease {
		e.release(now, m, fmt.Sprintf("silent for %s", quiet.Round(time.Second)))
	}
}

// HasLive tells whether any machine is up as far as is known.
func (e *Engine) HasLive() bool {
	for _, m := range e.machines {
		if s := m.State(); s == fleet.Live || s == fleet.Silent {
			return true
		}
	}
	return false
}
