package placement

import "gingertally/internal/core/pipeline"

// Possible reports whether a job could ever run: a task fits some allowed machine type in an allowed
// zone, and the team's limit allows all tasks that have to run at the same time.
func Possible(s *pipeline.Spec, team Quota, c Catalog) bool {
	n := 1.0
	if s.Shape != pipeline.Array {
		n = float64(s.Tasks)
	}
	if !team.Within(n*s.CPUs, n*s.GPUs) {
		return false
	}
	for _, t := range c {
		if !s.AllowsType(t.Name) || !t.Fits(s) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == "" || s.Zone == z {
				return true
			}
		}
	}
	return false
}

// ZoneCapacity returns how many more tasks of the job its constraints allow in a zone, given the
// number of its tasks in each zone. Where none restricts it, that is the number of all its tasks.
// It doesn't look at machines.
func ZoneCapacity(j *pipeline.Job, zone string, zones map[string]int) int {
	n := len(j.Tasks)
	if j.OneZone {
		for z, k := range zones {
			if k > 0 && z != zone {
				return 0
			}
		}
	}
	if j.Spread {
		n = min(n, (len(j.Tasks)+1)/2-zones[zone])
	}
	return n
}
