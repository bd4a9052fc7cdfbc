package admission

import "time"

// localWindow is the length of a window of the local rate limit. As many jobs as the controller may
// write to the state service in that time may arrive in one burst.
const localWindow = 4 * time.Second

// localLimiter is a fixed-window rate limiter: it limits the jobs that a controller admits in a window
// to the number that it may write to the state service in that time, and divides them among teams.
// Each team has a reservation: as many jobs as it offered in the last window, but at most its
// weighted part. The rest is first come, first served. So a surge of one team leaves the others
// their usual rate, before any policy takes the surge into account.
//
// A team that has had less than its weighted part of the window is always admitted, even if others
// have used up the window. So the limit may be exceeded, by jobs of teams that offered less in the
// last window than in this one.
type localLimiter struct {
	jobsPerSecond float64            // jobs that the controller may write to the state service; 0: no limit
	teamRates     map[string]float64 // a team's weighted part of jobsPerSecond
	teams         map[string]*teamWindow
	windowStart   time.Time // of the current window
	admitted      float64   // jobs admitted in the current window
	reserved      float64   // jobs that are reserved for teams in the current window and not admitted yet
}

// teamWindow counts those jobs of a team that the policy admits: how many were offered to the
// limiter and how many it admitted in the current window, and how many were offered in the last one.
type teamWindow struct{ admitted, offered, offeredBefore float64 }

func newLocalLimiter(o GateOptions) localLimiter {
	b := localLimiter{jobsPerSecond: o.JobsPerSecond, teamRates: map[string]float64{}, teams: map[string]*teamWindow{}}
	sum := 0.0
	for _, team := range o.Teams {
		sum += weightOf(o.Weights, team)
	}
	for _, team := range o.Teams {
		b.teamRates[team] = o.JobsPerSecond * weightOf(o.Weights, team) / sum
		b.teams[team] = &teamWindow{}
	}
	return b
}

// weightOf returns a team's weight, which is 1 if none is set.
func weightOf(weights map[string]float64, team string) float64 {
	if w, set := weights[team]; set {
		return w
	}
	return 1
}

// admit counts a job that the policy admits in the current window, and reports whether the limiter
// admits it too. It doesn't if the team has used up its part, and the jobs admitted so far and those
// still reserved for other teams reach the window's limit.
func (b *localLimiter) admit(now time.Time, team string) bool {
	if b.jobsPerSecond <= 0 {
		return true
	}
	if now.Sub(b.windowStart) >= localWindow {
		b.beginWindow(now)
	}
	t := b.teams[team]
	if t == nil {
		return true // submissions of unknown teams are refused before they get here
	}
	t.offered++
	limit := b.jobsPerSecond * localWindow.Seconds()
	part := b.partOfWindow(team)
	reservedForTeam := min(t.offeredBefore, part)
	reservedForOthers := b.reserved - max(0, reservedForTeam-t.admitted)
	if t.admitted >= part && b.admitted+reservedForOthers >= limit {
		return false
	}
	if t.admitted < reservedForTeam {
		b.reserved--
	}
	t.admitted++
	b.admitted++
	return true
}

// beginWindow begins a window and reserves for each team what it offered in the last one, up to its
// part.
func (b *localLimiter) beginWindow(now time.Time) {
	b.windowStart, b.admitted, b.reserved = now, 0, 0
	for team, t := range b.teams {
		t.offeredBefore, t.offered, t.admitted = t.offered, 0, 0
		b.reserved += min(t.offeredBefore, b.partOfWindow(team))
	}
}

// partOfWindow returns a team's weighted part of a window in jobs, at least one.
func (b *localLimiter) partOfWindow(team string) float64 {
	return max(1, b.teamRates[team]*localWindow.Seconds())
}
