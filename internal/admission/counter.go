package admission

import (
	"slices"
	"time"
)

// Count holds a controller's counts of a key's submissions since the counts were last collected.
type Count struct {
	Key
	Offered  int `cbor:"o"` // submissions; a job that is submitted again after a refusal counts again
	Admitted int `cbor:"a"`
	Refused  int `cbor:"r"`
	// OfferedCost and AdmittedCost are the summed costs of these submissions, see JobCost.
	OfferedCost  float64 `cbor:"x"`
	AdmittedCost float64 `cbor:"k"`
}

// Batch holds the counts of one controller over a period.
type Batch struct {
	Period time.Duration `cbor:"p"`
	Counts []Count       `cbor:"c"`
}

// Once maxKeysPerTeam keys (class and priority) of a team are counted, jobs with any further key
// are counted under otherClass, with at most one count per priority beyond the limit, so that new
// class names can't use unbounded memory. Teams need no such limit: they come from the settings.
const (
	maxKeysPerTeam = 32
	otherClass     = "(other)"
)

// counter holds counts by key. Its size is bounded by teams and classes, not by jobs.
type counter struct {
	counts      map[Key]*Count
	keysPerTeam map[string]int // number of keys with a count
}

func newCounter() counter { return counter{counts: map[Key]*Count{}, keysPerTeam: map[string]int{}} }

// countOf returns the count of a key, which it creates if needed, or the count of otherClass if the
// team has too many keys.
func (c *counter) countOf(k Key) *Count {
	if count := c.counts[k]; count != nil {
		return count
	}
	if c.keysPerTeam[k.Team] >= maxKeysPerTeam && k.Class != otherClass {
		return c.countOf(Key{Team: k.Team, Class: otherClass, Priority: k.Priority})
	}
	c.keysPerTeam[k.Team]++
	count := &Count{Key: k}
	c.counts[k] = count
	return count
}

// collect returns all counts, sorted by key, and resets the counter.
func (c *counter) collect() []Count {
	out := make([]Count, 0, len(c.counts))
	for _, count := range c.counts {
		out = append(out, *count)
	}
	slices.SortFunc(out, func(a, b Count) int { return a.Key.compare(b.Key) })
	*c = newCounter()
	return out
}
