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

// Keys of the state service under which leaders store what they do about drains.
const (
	cordonPrefix = "drain/cordon/"
	chargePrefix = "drain/charge/"
)

// cordonsHold: no response to a heartbeat starts anything on a machine that the state service holds as cordoned.
// The version in production knows of no cordons, so worlds with a rolling upgrade are excepted.
//
// Deliberate fault: "cordons forgotten at a takeover" in TestDrainChecksSeeFaults.
type cordonsHold struct {
	w        *World
	cordoned map[string]time.Time // machines, and since when the state service holds them as cordoned
	pages    map[string][]string  // machines on each stored page
	released map[string]bool      // machines
}

func newCordonsHold(w *World) *cordonsHold {
	return &cordonsHold{w: w, cordoned: map[string]time.Time{}, pages: map[string][]string{}, released: map[string]bool{}}
}

func (i *cordonsHold) observe(o observation) {
	switch o := o.(type) {
	case transactionCommitted:
		i.follow(o.changes)
	case heartbeatAnswered:
		i.checkStarts(o)
	}
}

// isCordoned tells whether a machine is cordoned. A nil invariant knows of no cordons.
func (i *cordonsHold) isCordoned(m *machine) bool { return i != nil && !i.cordoned[m.name].IsZero() }

func (i *cordonsHold) checkStarts(answered heartbeatAnswered) {
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

// follow takes in which machines the state service holds as cordoned.
func (i *cordonsHold) follow(changes []statestore.Op) {
	for _, change := range changes {
		if !strings.HasPrefix(change.Key, cordonPrefix) {
			continue
		}
		var page drain.MachinePage
		if !change.Delete && codec.Unmarshal(change.Value, &page) != nil {
			i.w.checker.fail("%s can't be read", change.Key)
		}
		i.replacePage(change.Key, page)
	}
}

func (i *cordonsHold) replacePage(key string, page drain.MachinePage) {
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

func (i *cordonsHold) onAnyPage(machine string) bool {
	for _, names := range i.pages {
		if slices.Contains(names, machine) {
			return true
		}
	}
	return false
}
