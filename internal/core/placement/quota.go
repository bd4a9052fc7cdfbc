package placement

import "gingertally/internal/core/pipeline"

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct{ CPUs, GPUs, CPUsMax, GPUsMax float64 }

// Within tells whether an amount is within the team's limits.
func (t Team) Within(cpus, gpus float64) bool {
	return (t.CPUsMax == 0 || cpus <= t.CPUsMax+slack) && (t.GPUsMax == 0 || gpus <= t.GPUsMax+slack)
}

// quotaRoom is how many more tasks of the job its team's limit allows.
func (b *Board) quotaRoom(j *pipeline.Job) int {
	t, u := b.Team(j.Team), b.Usage(j.Team)
	n := maxPerMachine * 1000
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs+slack)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs+slack)/j.GPUs))
	}
	return max(n, 0)
}
