package admission

import (
	"cmp"
	"slices"
	"strings"
)

// negligible is the part of the capacity below which an amount counts as zero: it absorbs rounding
// errors, and ends the rounds of shareRest.
const negligible = 1e-9

// Demand is the load that the jobs of a key request, as a part of the capacity.
type Demand struct {
	Key
	Rate float64
}

// TeamShare is a team's entitlement to the capacity.
type TeamShare struct {
	Weight    float64 // for what is left after floors and guarantees
	Guarantee float64 // part of the capacity
}

// Allocate divides the capacity among the demands and returns the amounts in the same order. Every
// key gets its floor first, then every team its guarantee; the rest is divided between teams by
// weighted max-min fairness. Within a team, higher priorities come first, and classes of the same
// priority share by max-min fairness. No key gets more than its demand, and the sum doesn't exceed
// the capacity unless the floors alone do.
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

// allocation is the state of a call of Allocate.
type allocation struct {
	demands []Demand
	given   []float64 // amount per demand, in the order of demands
	teams   []*teamAllocation
	left    float64 // capacity that isn't given yet
}

// teamAllocation is a team's part of an allocation.
type teamAllocation struct {
	name    string
	demands []int // indexes of the team's demands, the highest priority first
	given   float64
}

// groupByTeam fills a.teams, sorted by name, each with its demands sorted by priority.
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

// give adds an amount to what one of a team's demands is given.
func (a *allocation) give(t *teamAllocation, demand int, amount float64) {
	a.given[demand] += amount
	t.given += amount
	a.left -= amount
}

// unmet returns the part of a demand that isn't given yet.
func (a *allocation) unmet(demand int) float64 { return a.demands[demand].Rate - a.given[demand] }

// unmetOfTeam returns the sum of what a team's demands aren't given yet.
func (a *allocation) unmetOfTeam(t *teamAllocation) float64 {
	sum := 0.0
	for _, demand := range t.demands {
		sum += a.unmet(demand)
	}
	return sum
}

// giveFloors gives each demand the floor, or the whole demand if that is less. Floors are given even
// if they exceed the capacity.
func (a *allocation) giveFloors(floor float64) {
	for _, t := range a.teams {
		for _, demand := range t.demands {
			a.give(t, demand, min(floor, a.demands[demand].Rate))
		}
	}
	a.left = max(a.left, 0)
}

// giveTeam gives an amount to a team's demands, higher priorities first.
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

// giveEqually divides an amount among demands of one priority by max-min fairness, and returns how
// much of it they took. The demands with the least unmet come first, so that what they leave of an
// equal part is divided among the others.
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

// shareRest divides what is left by weighted max-min fairness (water-filling). Fairness applies to a
// team's total, floors and guarantee included: the teams with the least in proportion to their weight
// are raised together, until their demands are met.
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

// waterLevel returns the level, as capacity per unit of weight, to which what is left would raise
// the teams if their demands were unlimited. Teams that are above the level already get nothing
// more. It sorts teams by their present level.
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
