package simulation

import (
	"slices"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
	"gingertally/internal/statestore"
)

// Prefixes of the state service's keys under which leaders store cordons and charges.
const (
	cordonPrefix = "drain/cordon/"
	chargePrefix = "drain/charge/"
)

// cordonsRespected: no response to a heartbeat starts a task on a machine that the state service
// holds as cordoned. The version in production doesn't know cordons, so worlds with a rolling
// upgrade are exempt.
//
// Deliberate fault: "cordons forgotten at a takeover" in TestDrainChecksSeeFaults.
type cordonsRespected struct {
	w        *World
	cordoned map[string]time.Time // by machine: since when the state service holds it as cordoned
	pages    map[string][]string  // names of the machines on each stored page, by key
	released map[string]bool      // machines that were stored as released
}

func newCordonsRespected(w *World) *cordonsRespected {
	return &cordonsRespected{
		w: w, cordoned: map[string]time.Time{}, pages: map[string][]string{}, released: map[string]bool{},
	}
}

func (i *cordonsRespected) observe(o observation) {
	switch o := o.(type) {
	case transactionCommitted:
		i.recordCordons(o.changes)
	case heartbeatAnswered:
		i.checkStarts(o)
	}
}

// isCordoned reports whether a machine is cordoned. It is false for a nil invariant, in a world
// without drains.
func (i *cordonsRespected) isCordoned(m *machine) bool {
	return i != nil && !i.cordoned[m.name].IsZero()
}

// checkStarts checks that a response starts nothing on a cordoned machine.
func (i *cordonsRespected) checkStarts(answered heartbeatAnswered) {
	since := i.cordoned[answered.machine]
	if since.IsZero() || i.w.options.RollingUpgrade {
		return
	}
	for _, command := range answered.response.Commands {
		if command.Kind == fleet.Start {
			i.w.checker.fail("cordoned: %s is started on %s, which has been cordoned for %s",
				taskKey(command.Ref, command.Task, command.Attempt), answered.machine, i.w.now.Sub(since))
		}
	}
}

// recordCordons records which machines the changes of a transaction cordon or uncordon.
func (i *cordonsRespected) recordCordons(changes []statestore.Op) {
	for _, change := range changes {
		if !strings.HasPrefix(change.Key, cordonPrefix) {
			continue
		}
		var page drain.MachinePage
		if !change.Delete && codec.Unmarshal(change.Value, &page) != nil {
			i.w.checker.fail("%s can't be decoded", change.Key)
		}
		i.replacePage(change.Key, page)
	}
}

// replacePage records the new content of a stored page; a deleted page is empty.
func (i *cordonsRespected) replacePage(key string, page drain.MachinePage) {
	before := i.pages[key]
	i.pages[key] = nil
	for _, m := range page.Machines {
		i.pages[key] = append(i.pages[key], m.Name)
		if i.cordoned[m.Name].IsZero() {
			i.cordoned[m.Name] = i.w.now
			i.w.drains.count("machines cordoned")
		}
		if m.State == drain.Released && !i.released[m.Name] {
			i.released[m.Name] = true
			i.w.drains.count("machines released")
		}
	}
	for _, name := range before {
		if !i.onAnyPage(name) {
			delete(i.cordoned, name)
		}
	}
}

func (i *cordonsRespected) onAnyPage(machine string) bool {
	for _, names := range i.pages {
		if slices.Contains(names, machine) {
			return true
		}
	}
	return false
}
