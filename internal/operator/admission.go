package operator

import (
	"math"
	"slices"
	"time"

	"gingertally/internal/operator/operatorpb"
)

// Admission holds the settings of admission control.
type Admission struct {
	Enabled bool
	// Weights holds the teams' weights; the weight of a team that isn't named is 1.
	Weights map[string]float64
	// Floor is the smallest part of the capacity that is left to each class.
	Floor float64
	// EnterBacklog is the backlog at which overload begins, if demand is high as well. ExitBacklog, which
	// must be lower, is the one at which it ends, once demand has dropped as well. The backlog is the
	// time that the machines would need for all waiting work.
	EnterBacklog time.Duration
	ExitBacklog  time.Duration
	// PolicyAge is how long after a leader last confirmed it a policy is applied as it is; after that
	// the fallback replaces it.
	PolicyAge time.Duration
}

// Bounds of the settings of admission control.
const (
	minTeamWeight = 0.01
	maxTeamWeight = 1000
	maxFloor      = 0.5
	minBacklog    = time.Second
	maxBacklog    = 24 * time.Hour
	minPolicyAge  = 3 * time.Second
	maxPolicyAge  = 10 * time.Minute
)

// admission validates the settings of admission control and sets those that the file has.
func (c *checker) admission(message *operatorpb.Admission, target *Admission) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	if message.Floor != nil {
		target.Floor = c.number("floor", message.GetFloor(), 0, maxFloor)
	}
	c.duration("enter_backlog", message.EnterBacklog, &target.EnterBacklog, minBacklog, maxBacklog)
	c.duration("exit_backlog", message.ExitBacklog, &target.ExitBacklog, minBacklog, maxBacklog)
	c.duration("policy_age", message.PolicyAge, &target.PolicyAge, minPolicyAge, maxPolicyAge)
	if target.ExitBacklog >= target.EnterBacklog {
		c.fail("exit_backlog", "must be less than enter_backlog, %s, is %s", target.EnterBacklog, target.ExitBacklog)
	}
	for _, weight := range message.Weights {
		c.teamWeight(weight, target)
	}
}

// teamWeight validates the weight of one team and stores it in target.
func (c *checker) teamWeight(message *operatorpb.TeamWeight, target *Admission) {
	team, weight := message.GetTeam(), message.GetWeight()
	line := c.valueLine(team, "weights")
	switch _, duplicate := target.Weights[team]; {
	case !slices.Contains(c.teams, team):
		c.failAt(line, "weights", "unknown team %q", team)
		return
	case duplicate:
		c.failAt(line, "weights", "team %q is listed twice", team)
		return
	case message.Weight == nil || math.IsNaN(weight) || weight < minTeamWeight || weight > maxTeamWeight:
		c.failAt(line, "weight", "of team %q must be from %g to %g", team, minTeamWeight, float64(maxTeamWeight))
		return
	}
	if target.Weights == nil {
		target.Weights = map[string]float64{}
	}
	target.Weights[team] = weight
}
