package core

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// StartWait is how long the jobs of a team and class have waited for their first start in this
// term.
type StartWait struct {
	Team, Class string
	Jobs        int
	Mean, Max   time.Duration
}

// maxStartWaits bounds how many combinations of team and class are told apart; others aren't
// counted.
const maxStartWaits = 500

// waitKey identifies a StartWait.
type waitKey struct{ team, class string }

// startWaits holds how long jobs have waited for their first start.
type startWaits map[waitKey]*StartWait

// record adds the time that a job has waited when its first start is sent.
func (w startWaits) record(j *pipeline.Job, wait time.Duration) {
	key := waitKey{j.Team, j.Class}
	s := w[key]
	if s == nil {
		if len(w) >= maxStartWaits {
			return
		}
		s = &StartWait{Team: j.Team, Class: j.Class}
		w[key] = s
	}
	s.Jobs++
	s.Mean += (wait - s.Mean) / time.Duration(s.Jobs)
	s.Max = max(s.Max, wait)
}

// list returns all waits, sorted by team and class.
func (w startWaits) list() []StartWait {
	out := make([]StartWait, 0, len(w))
	for _, s := range w {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b StartWait) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return out
}
