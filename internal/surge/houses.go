package surge

import (
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// houseCPUs is the capacity of the deployment of Houses.
const houseCPUs = 200.0

// always is a rate that doesn't change.
func always(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Houses is a deployment with a pharmacy that has a guarantee, a large auction house that
// floods it with bulk work at so many times its normal load, and two small houses, one with
// few large jobs.
func Houses(seed uint64, times float64) Options {
	class := func(team, name string, priority pipeline.Priority, tasks int, taskCPUs, seconds, part float64) Class {
		return Class{Team: team, Name: name, Priority: priority, Tasks: tasks, CPUs: taskCPUs, Run: time.Duration(seconds * float64(time.Second)),
			PerSecond: always(part * houseCPUs / (float64(tasks) * taskCPUs * seconds))}
	}
	return Options{
		Seed: seed, Length: 30 * time.Minute, Controllers: 3, Admission: true, JobsRate: 30,
		Settings: Settings{Floor: 0.02, EnterBacklog: 2 * time.Minute, ExitBacklog: time.Minute, PolicyAge: 15 * time.Second, Interval: time.Second},
		Teams:    map[string]placement.Quota{"pharmacy": {GuaranteedCPUs: 60}, "large": {}, "small-1": {}, "small-2": {}},
		Weights:  map[string]float64{},
		CPUs:     func(time.Duration) float64 { return houseCPUs },
		Classes: []Class{
			class("pharmacy", "reserve", pipeline.High, 1, 2, 10, 0.15),
			class("pharmacy", "archive", pipeline.Low, 4, 2, 20, 0.1*times),
			class("large", "photos", pipeline.Normal, 8, 2, 20, 0.8*times),
			class("small-1", "photos", pipeline.Normal, 4, 2, 20, 0.1),
			class("small-2", "valuation", pipeline.Normal, 1, 32, 30, 0.15),
		},
	}
}
