package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// paced checks that the starts of bulk work in a second don't exceed the pace that the leader
// was bound to then, by more than what may go at once.
func (c *checker) paced(n *node, reply *core.HeartbeatResponse) {
	rate := n.engine.Status(n.local()).Recovery.Pace
	if rate == 0 {
		c.pacedSince = time.Time{}
		return
	}
	if c.pacedSince.IsZero() || c.w.now.Sub(c.pacedSince) >= time.Second {
		c.pacedSince, c.pacedStarts, c.pacedRate = c.w.now, 0, rate
		c.pacedSeconds++
	}
	c.pacedRate = max(c.pacedRate, rate)
	for _, command := range reply.Commands {
		j := c.w.jobs[command.Ref]
		if command.Kind == fleet.Start && j != nil && j.spec.Priority > pipeline.High && len(j.dependents()) == 0 {
			c.pacedStarts++
		}
	}
	if most := 2*c.pacedRate + 2; float64(c.pacedStarts) > most {
		c.fail("pace: %d starts of bulk work in a second, at most %g a second are allowed", c.pacedStarts, c.pacedRate)
	}
}

// dependents are the jobs that name a job as a dependency; it inherits their urgency.
func (j *userJob) dependents() []*userJob {
	var out []*userJob
	for _, other := range j.w.jobs {
		for _, d := range other.dependencies {
			if d == j {
				out = append(out, other)
			}
		}
	}
	return out
}
