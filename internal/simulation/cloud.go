package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core"
)

// cloudSim is the cloud: it creates machines within the capacity of each offer, deletes them, and lists them as they
// were some time ago.
type cloudSim struct {
	w               *World
	made            int
	scaleOutAnswers map[string][]string
	down            bool
	history         []snapshot
}

type snapshot struct {
	at   time.Time
	list []core.Instance
}

// maxOffer is how many machines of each type, zone and kind there can be.
const maxOffer = 3

// create creates a machine that is up after some time.
func (c *cloudSim) create(typ, zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("m-%06d", c.made)
	c.made++
	m := &machine{w: c.w, name: name, typ: typ, zone: zone, spot: spot, createdAt: c.w.now,
		clockRate: c.w.randomClockRate(), images: map[string]bool{}, tasks: map[string]*task{}}
	c.w.machines[name] = m
	c.w.after(boot, m.startWorker)
	return name
}

// scaleOut creates the machines of a request, once however often it is repeated. It tells whether the request was
// refused for want of capacity, and whether the cloud answers at all.
func (c *cloudSim) scaleOut(r core.ScaleOut) (names []string, refused, ok bool) {
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
	n := min(r.Count, c.w.shortLease.offer()-have)
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

// scaleIn deletes machines. They and all tasks on them are gone at once.
func (c *cloudSim) scaleIn(names []string) bool {
	if c.down {
		return false
	}
	if c.w.drains != nil {
		c.w.drains.call(c.w.drains.onScaleIn)
	}
	for _, n := range names {
		if m := c.w.machines[n]; m != nil {
			m.terminate()
		}
	}
	return true
}

// snapshot records the present list.
func (c *cloudSim) snapshot() {
	s := snapshot{at: c.w.now}
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

// list returns the list as it was some time ago.
func (c *cloudSim) list() ([]core.Instance, bool) {
	c.snapshot()
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
