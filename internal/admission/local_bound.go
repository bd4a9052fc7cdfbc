package admission

import "time"

// localWindow is the length of a window of the local bound: as many jobs as the controller can have
// stored in that time may come at once.
const localWindow = 4 * time.Second

// localBound limits the jobs that a controller admits in a window to what it can have stored, and
// shares them among teams. What a team asked for in the last window is reserved for it in this one,
// up to its weighted part; the rest goes to whoever comes first. So a surge of one team leaves the
// others what they are used to, before any policy knows of it.
type localBound struct {
	perSecond float64            // jobs that the controller can have stored; 0: no bound
	parts     map[string]float64 // jobs a second by team
	teams     map[string]*teamWindow
	windowAt  time.Time // when the present window began
	admitted  float64   // jobs in this window
	reserved  float64   // jobs of this window that are reserved for teams and not admitted yet
}

// teamWindow counts a team's jobs in the present window, and those that it asked for in the last one.
type teamWindow struct{ admitted, offered, offeredBefore float64 }

func newLocalBound(o GateOptions) localBound {
	b := localBound{perSecond: o.Jobs, parts: map[string]float64{}, teams: map[string]*teamWindow{}}
	sum := 0.0
	for _, team := range o.Teams {
		sum += weightOf(o.Weights, team)
	}
	for _, team := range o.Teams {
		b.parts[team] = o.Jobs * weightOf(o.Weights, team) / sum
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

// admit counts a job in the present window; it returns false if the team has had its part and the
// rest is admitted or reserved for others.
func (b *localBound) admit(now time.Time, team string) bool {
	if b.perSecond <= 0 {
		return true
	}
	if now.Sub(b.windowAt) >= localWindow {
		b.beginWindow(now)
	}
	t := b.teams[team]
	if t == nil {
		return true // submissions of unknown teams are refused before they get here
	}
	t.offered++
	limit := b.perSecond * localWindow.Seconds()
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

// beginWindow begins a window, with what each team asked for in the last one reserved for it, up to
// its part.
func (b *localBound) beginWindow(now time.Time) {
	b.windowAt, b.admitted, b.reserved = now, 0, 0
	for team, t := range b.teams {
		t.offeredBefore, t.offered, t.admitted = t.offered, 0, 0
		b.reserved += min(t.offeredBefore, b.partOfWindow(team))
	}
}

// partOfWindow returns how many jobs of a window are a team's own, which is at least one.
func (b *localBound) partOfWindow(team string) float64 {
	return max(1, b.parts[team]*localWindow.Seconds())
}
