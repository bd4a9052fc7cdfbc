package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core"
)

// cloudSim simulates the cloud. It creates machines, up to a capacity for each combination of type,
// zone, and spot or on-demand; it deletes them; and its list of machines may be some seconds old.
type cloudSim struct {
	w               *World
	created         int                 // number of machines created so far
	scaleOutAnswers map[string][]string // names of the machines created, by the name of the request
	down            bool                // the cloud answers no request
	history         []listSnapshot      // the most recently recorded lists, oldest first
}

// listSnapshot is the list of all machines at some time.
type listSnapshot struct {
	at   time.Time
	list []core.Instance
}

// offerCapacity is the maximum number of machines of one type in one zone, counted separately for
// spot and on-demand machines.
const offerCapacity = 3

// create creates a machine, whose worker starts after the boot time, and returns its name.
func (c *cloudSim) create(typ, zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("m-%06d", c.created)
	c.created++
	m := &machine{w: c.w, name: name, typ: typ, zone: zone, spot: spot, createdAt: c.w.now,
		clockRate: c.w.randomClockRate(), images: map[string]bool{}, tasks: map[string]*task{}}
	c.w.machines[name] = m
	c.w.after(boot, m.startWorker)
	return name
}

// scaleOut creates the machines of a request, or fewer if the capacity doesn't suffice. A repeated
// request creates no more machines and returns the same names. It returns noCapacity if no machine
// can be created, and ok is false if the cloud doesn't answer.
func (c *cloudSim) scaleOut(r core.ScaleOut) (names []string, noCapacity, ok bool) {
	if c.down {
		return nil, false, false
	}
	if got, known := c.scaleOutAnswers[r.Name]; known {
		return got, false, true
	}
	have := 0
	for _, m := range c.w.machines {
		if m.typ == r.Type && m.zone == r.Zone && m.spot == r.Spot {
			have++
		}
	}
	n := min(r.Count, c.w.shortLease.cloudCapacity()-have)
	if n <= 0 {
		return nil, true, true
	}
	boot := c.w.catalog[r.Type].Boot
	for range n {
		d := time.Duration(float64(boot) * (0.6 + c.w.rng.Float64()))
		if c.w.chance(0.05) {
			d = time.Hour // never comes up
		}
		names = append(names, c.create(r.Type, r.Zone, r.Spot, c.w.script.bootDelay(d)))
	}
	c.scaleOutAnswers[r.Name] = names
	return names, false, true
}

// scaleIn deletes machines; all tasks on them end at once. It returns false if the cloud is down.
func (c *cloudSim) scaleIn(names []string) bool {
	if c.down {
		return false
	}
	if c.w.drains != nil {
		c.w.drains.runCallbacks(c.w.drains.onScaleIn)
	}
	for _, n := range names {
		if m := c.w.machines[n]; m != nil {
			m.terminate()
		}
	}
	return true
}

// recordList adds the current list of machines to the history.
func (c *cloudSim) recordList() {
	s := listSnapshot{at: c.w.now}
	for _, m := range c.w.machines {
		st := core.InstanceRunning
		if !m.isUp {
			st = core.InstanceStarting
		}
		s.list = append(s.list, core.Instance{Name: m.name, Addr: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot,
			Status: st, Age: c.w.now.Sub(m.createdAt)})
	}
	slices.SortFunc(s.list, func(a, b core.Instance) int { return strings.Compare(a.Name, b.Name) })
	c.history = append(c.history, s)
	if len(c.history) > 20 {
		c.history = c.history[1:]
	}
}

// list records the current list of machines, and returns the newest one that was recorded at or
// before a random time within the last 4 s; nil if there was none yet. It returns false if the
// cloud is down.
func (c *cloudSim) list() ([]core.Instance, bool) {
	c.recordList()
	if c.down {
		return nil, false
	}
	at := c.w.now.Add(-c.w.between(0, 4*time.Second))
	for i := len(c.history) - 1; i >= 0; i-- {
		if !c.history[i].at.After(at) {
			return c.history[i].list, true
		}
	}
	return nil, true
}
