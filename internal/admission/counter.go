package admission

import (
	"sort"
	"time"
)

// Count is what a controller has seen of a key since it was last asked.
type Count struct {
	Key
	Offered  int     `cbor:"o"` // jobs, refused ones that come again included
	Admitted int     `cbor:"a"`
	Refused  int     `cbor:"r"`
	Cost     float64 `cbor:"x"` // of the offered, see JobCost
	Taken    float64 `cbor:"k"` // of the admitted
}

// Batch is what a controller has counted in a time.
type Batch struct {
	Period time.Duration `cbor:"p"`
	Counts []Count       `cbor:"c"`
}

// Bounds of what is counted apart: classes beyond them are counted as one class of their
// team. Teams are those of the settings.
const (
	maxClassesPerTeam = 32
	otherClass        = "(other)"
)

// counter counts by key. Its size is bounded by teams and classes, not by jobs.
type counter struct {
	counts  map[Key]*Count
	classes map[string]int // keys by team
}

func newCounter() counter { return counter{counts: map[Key]*Count{}, classes: map[string]int{}} }

// of returns the count of a key, or that of its team's other classes.
func (c *counter) of(k Key) *Count {
	if n := c.counts[k]; n != nil {
		return n
	}
	if c.classes[k.Team] >= maxClassesPerTeam && k.Class != otherClass {
		return c.of(Key{Team: k.Team, Class: otherClass, Priority: k.Priority})
	}
	c.classes[k.Team]++
	n := &Count{Key: k}
	c.counts[k] = n
	return n
}

// take returns all counts by key, and begins anew.
func (c *counter) take() []Count {
	out := make([]Count, 0, len(c.counts))
	for _, n := range c.counts {
		out = append(out, *n)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key.before(out[k].Key) })
	*c = newCounter()
	return out
}
