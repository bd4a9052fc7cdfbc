package core

import (
	"cmp"
	"slices"

	"gingertally/internal/core/fleet"
)

// usage is what of jobs and teams may be on machines. Quotas, zones and gangs are checked
// against it, also for jobs that are over (TestQuotaCountsJobsThatAreOver).
type usage struct {
	byJob  map[string]*jobUsage
	byTeam map[string]fleet.Amount
}

// jobUsage is what of a job may be on machines. All but usage's methods only read it.
type jobUsage struct {
	team     string
	attempts map[*fleet.Attempt]bool
	results  map[*fleet.Attempt]bool // that the store isn't known to hold
	running  int                     // attempts that run
	zones    map[string]int          // attempts by zone
}

// noUsage stands for a job of which nothing is on machines, and nothing has been.
var noUsage = &jobUsage{zones: map[string]int{}}

func newUsage() usage {
	return usage{byJob: map[string]*jobUsage{}, byTeam: map[string]fleet.Amount{}}
}

// ofTeam is what all jobs of a team take of machines.
func (u *usage) ofTeam(team string) fleet.Amount { return u.byTeam[team] }

// ofJob is what of a job may be on machines.
func (u *usage) ofJob(ref string) *jobUsage {
	if j := u.byJob[ref]; j != nil {
		return j
	}
	return noUsage
}

// track begins to follow a job, if that hasn't begun. Who holds its zones sees them change.
func (u *usage) track(ref string) *jobUsage {
	j := u.byJob[ref]
	if j == nil {
		j = &jobUsage{attempts: map[*fleet.Attempt]bool{}, results: map[*fleet.Attempt]bool{}, zones: map[string]int{}}
		u.byJob[ref] = j
	}
	return j
}

// forgetUnused stops following a job of which nothing is on machines. It must be over.
func (u *usage) forgetUnused(ref string) {
	if j := u.byJob[ref]; j != nil && len(j.attempts)+len(j.results) == 0 {
		delete(u.byJob, ref)
	}
}

// add counts an attempt that is, or may be, on its machine. Team is empty if the job isn't
// known; what is known of its team from before then stays.
func (u *usage) add(a *fleet.Attempt, team string) {
	j := u.track(a.Ref)
	if team != "" {
		j.team = team
	}
	j.attempts[a] = true
	j.zones[a.Machine.Zone]++
	u.byTeam[j.team] = u.byTeam[j.team].Plus(a)
	if a.State() == fleet.Running {
		j.running++
	}
}

// moved counts that an attempt has changed its state.
func (u *usage) moved(a *fleet.Attempt, was fleet.AttemptState) {
	j := u.track(a.Ref)
	if was == fleet.Running {
		j.running--
	}
	if a.State() == fleet.Running {
		j.running++
	}
}

// exited takes an attempt that has exited out of the counts.
func (u *usage) exited(a *fleet.Attempt) {
	j := u.track(a.Ref)
	delete(j.attempts, a)
	j.zones[a.Machine.Zone]--
	u.byTeam[j.team] = u.byTeam[j.team].Minus(a)
}

// addResult notes an attempt with a result that the store doesn't hold yet.
func (u *usage) addResult(a *fleet.Attempt) { u.track(a.Ref).results[a] = true }

// removeResult notes that the result of an attempt, if any, waits for the store no longer.
func (u *usage) removeResult(a *fleet.Attempt) { delete(u.ofJob(a.Ref).results, a) }

// attemptsOf lists the attempts of a job that may be on machines, by machine.
func (u *usage) attemptsOf(ref string) []*fleet.Attempt {
	j := u.ofJob(ref)
	if len(j.attempts) == 0 {
		return nil
	}
	out := make([]*fleet.Attempt, 0, len(j.attempts))
	for a := range j.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *fleet.Attempt) int {
		return cmp.Or(cmp.Compare(a.Machine.Name, b.Machine.Name), cmp.Compare(a.Task, b.Task))
	})
	return out
}

// find returns an attempt that may be on a machine; nil if it is proven gone.
func (u *usage) find(id fleet.TaskID, number uint64) *fleet.Attempt {
	for a := range u.ofJob(id.Ref).attempts {
		if a.TaskID == id && a.Number == number {
			return a
		}
	}
	return nil
}

// active is how many attempts of the job may be on machines.
func (j *jobUsage) active() int { return len(j.attempts) }
