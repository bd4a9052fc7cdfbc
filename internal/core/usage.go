package core

import (
	"cmp"
	"slices"

	"gingertally/internal/core/fleet"
)

// usage holds the attempts that may be on machines by job, and the resources that they take by
// team. Quotas, zones and gangs are checked against it. It includes attempts of jobs that are over
// (TestQuotaCountsJobsThatAreOver).
type usage struct {
	byJob  map[string]*jobUsage
	byTeam map[string]fleet.Amount
}

// jobUsage is the usage of one job. Only the methods of usage change it.
type jobUsage struct {
	team     string
	attempts map[*fleet.Attempt]bool // attempts that may be on machines
	results  map[*fleet.Attempt]bool // succeeded attempts whose results aren't known to be stored
	running  int                     // number of running attempts
	zones    map[string]int          // number of attempts by zone
}

// noUsage is the usage of jobs that aren't tracked. It must not be changed.
var noUsage = &jobUsage{zones: map[string]int{}}

func newUsage() usage {
	return usage{byJob: map[string]*jobUsage{}, byTeam: map[string]fleet.Amount{}}
}

// ofTeam returns the resources that the attempts of a team's jobs take.
func (u *usage) ofTeam(team string) fleet.Amount { return u.byTeam[team] }

// ofJob returns the usage of a job, to be read only.
func (u *usage) ofJob(ref string) *jobUsage {
	if j := u.byJob[ref]; j != nil {
		return j
	}
	return noUsage
}

// track returns the usage of a job, and adds it if it is missing. The map of zones is shared:
// callers that keep it see later changes.
func (u *usage) track(ref string) *jobUsage {
	j := u.byJob[ref]
	if j == nil {
		j = &jobUsage{attempts: map[*fleet.Attempt]bool{}, results: map[*fleet.Attempt]bool{}, zones: map[string]int{}}
		u.byJob[ref] = j
	}
	return j
}

// forgetUnused drops the usage of a job that has no attempts on machines and no unstored results.
// The job must be over.
func (u *usage) forgetUnused(ref string) {
	if j := u.byJob[ref]; j != nil && len(j.attempts)+len(j.results) == 0 {
		delete(u.byJob, ref)
	}
}

// add counts an attempt that is, or may be, on its machine. An empty team means that the job isn't
// known; the team that was set earlier, if any, then stays.
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

// moved updates the number of running attempts after an attempt has changed its state.
func (u *usage) moved(a *fleet.Attempt, was fleet.AttemptState) {
	j := u.track(a.Ref)
	if was == fleet.Running {
		j.running--
	}
	if a.State() == fleet.Running {
		j.running++
	}
}

// exited removes an attempt that has exited from the counts.
func (u *usage) exited(a *fleet.Attempt) {
	j := u.track(a.Ref)
	delete(j.attempts, a)
	j.zones[a.Machine.Zone]--
	u.byTeam[j.team] = u.byTeam[j.team].Minus(a)
}

// addResult adds an attempt with a result that the store isn't known to hold yet.
func (u *usage) addResult(a *fleet.Attempt) { u.track(a.Ref).results[a] = true }

// removeResult removes an attempt from those with unstored results.
func (u *usage) removeResult(a *fleet.Attempt) { delete(u.ofJob(a.Ref).results, a) }

// attemptsOf returns the attempts of a job that may be on machines, ordered by machine and task.
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

// find returns a task's attempt with the given number, or nil if that can't be on a machine.
func (u *usage) find(id fleet.TaskID, number uint64) *fleet.Attempt {
	for a := range u.ofJob(id.Ref).attempts {
		if a.TaskID == id && a.Number == number {
			return a
		}
	}
	return nil
}

// active returns the number of attempts of the job that may be on machines.
func (j *jobUsage) active() int { return len(j.attempts) }
