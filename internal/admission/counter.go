package admission

import (
	"slices"
	"time"
)

// Count is what a controller has counted of a key since it was last asked.
type Count struct {
	Key
	Offered  int `cbor:"o"` // submissions, including those that were refused before
	Admitted int `cbor:"a"`
	Refused  int `cbor:"r"`
	// OfferedCost and AdmittedCost are the costs of these jobs, see JobCost.
	OfferedCost  float64 `cbor:"x"`
	AdmittedCost float64 `cbor:"k"`
}

// Batch is what a controller has counted in a period.
type Batch struct {
	Period time.Duration `cbor:"p"`
	Counts []Count       `cbor:"c"`
}

// Bounds of what is counted. A team's further classes are counted together as otherClass, so that
// new names don't take up memory without bound. Teams are those of the settings.
const (
	maxClassesPerTeam = 32
	otherClass        = "(other)"
)

// counter counts by key. Its size is bounded by teams and classes, not by jobs.
type counter struct {
	counts     map[Key]*Count
	keysOfTeam map[string]int // how many keys are counted
}

func newCounter() counter { return counter{counts: map[Key]*Count{}, keysOfTeam: map[string]int{}} }

// countOf returns the count of a key, or that of its team's other classes.
func (c *counter) countOf(k Key) *Count {
	if count := c.counts[k]; count != nil {
		return count
	}
	if c.keysOfTeam[k.Team] >= maxClassesPerTeam && k.Class != otherClass {
		return c.countOf(Key{Team: k.Team, Class: otherClass, Priority: k.Priority})
	}
	c.keysOfTeam[k.Team]++
	count := &Count{Key: k}
	c.counts[k] = count
	return count
}

// collect returns all counts by key, and resets them.
func (c *counter) collect() []Count {
	out := make([]Count, 0, len(c.counts))
	for _, count := range c.counts {
		out = append(out, *count)
	}
	slices.SortFunc(out, func(a, b Count) int { return a.Key.compare(b.Key) })
	*c = newCounter()
	return out
}
