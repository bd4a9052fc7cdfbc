package admission

import (
	"cmp"
	"slices"
	"strings"
)

// negligible is a part of the capacity that is too small to be shared out.
const negligible = 1e-9

// Demand is what the jobs of a key ask for, as a part of the capacity.
type Demand struct {
	Key
	Rate float64
}

// TeamShare is a team's claim to the capacity.
type TeamShare struct {
	Weight    float64
	Guarantee float64 // part of the capacity
}

// Allocate shares the capacity out. Every key is given its floor first, and every team its
// guarantee next; what is left is shared by weighted max-min fairness between teams. Within a team
// the higher priorities come first, and classes of one priority share by max-min fairness. No key
// is given more than it asks for, and all together no more than the capacity, unless the floors
// alone are more. The result has the order of the demands.
func Allocate(capacity, floor float64, teams map[string]TeamShare, demands []Demand) []float64 {
	a := &allocation{given: make([]float64, len(demands)), demands: demands, left: capacity}
	a.groupByTeam()
	a.giveFloors(floor)
	for _, t := range a.teams {
		a.giveTeam(t, min(teams[t.name].Guarantee-t.given, a.left))
	}
	a.shareRest(teams)
	return a.given
}

// allocation is an allocation that is being computed.
type allocation struct {
	demands []Demand
	given   []float64 // by demand
	teams   []*teamAllocation
	left    float64 // of the capacity
}

// teamAllocation is a team's part of an allocation.
type teamAllocation struct {
	name    string
	demands []int // indexes of the team's demands, the highest priority first
	given   float64
}

// groupByTeam lists the teams by name, each with its demands.
func (a *allocation) groupByTeam() {
	byName := map[string]*teamAllocation{}
	for i, d := range a.demands {
		t := byName[d.Team]
		if t == nil {
			t = &teamAllocation{name: d.Team}
			byName[d.Team] = t
			a.teams = append(a.teams, t)
		}
		t.demands = append(t.demands, i)
	}
	slices.SortFunc(a.teams, func(x, y *teamAllocation) int { return strings.Compare(x.name, y.name) })
	for _, t := range a.teams {
		slices.SortStableFunc(t.demands, func(x, y int) int {
			return cmp.Compare(a.demands[x].Priority, a.demands[y].Priority)
		})
	}
}

// give gives an amount to one of a team's demands.
func (a *allocation) give(t *teamAllocation, demand int, amount float64) {
	a.given[demand] += amount
	t.given += amount
	a.left -= amount
}

// unmet returns what a demand lacks.
func (a *allocation) unmet(demand int) float64 { return a.demands[demand].Rate - a.given[demand] }

// unmetOfTeam returns what a team's demands lack together.
func (a *allocation) unmetOfTeam(t *teamAllocation) float64 {
	sum := 0.0
	for _, demand := range t.demands {
		sum += a.unmet(demand)
	}
	return sum
}

// giveFloors gives each demand the floor, or all that it asks for if that is less.
func (a *allocation) giveFloors(floor float64) {
	for _, t := range a.teams {
		for _, demand := range t.demands {
			a.give(t, demand, min(floor, a.demands[demand].Rate))
		}
	}
	a.left = max(a.left, 0)
}

// giveTeam gives an amount to a team, to its higher priorities first.
func (a *allocation) giveTeam(t *teamAllocation, amount float64) {
	for first := 0; first < len(t.demands) && amount > 0; {
		end := first
		for end < len(t.demands) && a.demands[t.demands[end]].Priority == a.demands[t.demands[first]].Priority {
			end++
		}
		amount -= a.giveEqually(t, t.demands[first:end], amount)
		first = end
	}
}

// giveEqually shares an amount among demands of one priority by max-min fairness, and returns how
// much of it they took. Those that lack the least come first: what they leave of an equal part
// goes to the others.
func (a *allocation) giveEqually(t *teamAllocation, demands []int, amount float64) float64 {
	byUnmet := slices.Clone(demands)
	slices.SortStableFunc(byUnmet, func(x, y int) int { return cmp.Compare(a.unmet(x), a.unmet(y)) })
	taken := 0.0
	for i, demand := range byUnmet {
		equalPart := (amount - taken) / float64(len(byUnmet)-i)
		if part := min(a.unmet(demand), equalPart); part > 0 {
			a.give(t, demand, part)
			taken += part
		}
	}
	return taken
}

// shareRest shares what is left by weighted max-min fairness of what the teams are given in all:
// those with the least for their weight are raised together, until their demands are met.
func (a *allocation) shareRest(teams map[string]TeamShare) {
	weight := func(t *teamAllocation) float64 { return max(teams[t.name].Weight, negligible) }
	for a.left > negligible {
		var unsatisfied []*teamAllocation
		for _, t := range a.teams {
			if a.unmetOfTeam(t) > negligible {
				unsatisfied = append(unsatisfied, t)
			}
		}
		if len(unsatisfied) == 0 {
			return
		}
		level := a.waterLevel(unsatisfied, weight)
		leftBefore := a.left
		for _, t := range unsatisfied {
			a.giveTeam(t, min(level*weight(t)-t.given, a.unmetOfTeam(t), a.left))
		}
		if leftBefore-a.left < negligible {
			return
		}
	}
}

// waterLevel returns the level, in capacity for a weight of 1, up to which the teams could be raised
// with what is left if none of them were satisfied before. Teams that are above it aren't raised.
func (a *allocation) waterLevel(teams []*teamAllocation, weight func(*teamAllocation) float64) float64 {
	levelOf := func(t *teamAllocation) float64 { return t.given / weight(t) }
	slices.SortStableFunc(teams, func(x, y *teamAllocation) int { return cmp.Compare(levelOf(x), levelOf(y)) })
	given, weights := 0.0, 0.0
	level := 0.0
	for i, t := range teams {
		given, weights = given+t.given, weights+weight(t)
		level = (given + a.left) / weights
		if i+1 < len(teams) && level <= levelOf(teams[i+1]) {
			break
		}
	}
	return level
}
