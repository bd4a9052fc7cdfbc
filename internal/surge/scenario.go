package surge

import (
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// scenarioCPUs is the capacity of the deployment that NoisyNeighbour returns.
const scenarioCPUs = 200.0

// Names of the teams of NoisyNeighbour, under which measurements are reported
// (docs/admission-measurements.md).
const (
	guaranteedTeam                  = "pharmacy"
	noisyTeam                       = "large"
	firstSmallTeam, secondSmallTeam = "small-1", "small-2"
)

// Indexes into the Classes of NoisyNeighbour. The classes from firstSmallClass on belong to the small
// teams.
const (
	urgentClass     = 0
	noisyClass      = 2
	firstSmallClass = 3
)

// constantRate returns a function of time that always returns the same value.
func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// scenarioClass returns a class whose jobs together ask for a share of the capacity scenarioCPUs. The
// run time is in seconds.
func scenarioClass(team, name string, priority pipeline.Priority, tasks int, taskCPUs, run, share float64) Class {
	return Class{
		Team: team, Name: name, Priority: priority, Tasks: tasks, CPUs: taskCPUs,
		Run:       time.Duration(run * float64(time.Second)),
		PerSecond: constantRate(share * scenarioCPUs / (float64(tasks) * taskCPUs * run)),
	}
}

// NoisyNeighbour returns a deployment in which one team submits bulk work at a multiple of its normal
// load. The other teams are one with guaranteed CPUs, which has urgent jobs at their normal load and
// bulk work at the same multiple, and two small ones at their normal load, one of which has few jobs
// with large tasks.
func NoisyNeighbour(seed uint64, bulkLoad float64) Options {
	return Options{
		Seed: seed, Length: 30 * time.Minute, Controllers: 3, Admission: true, JobsRate: 30,
		Settings: Settings{Floor: 0.02, EnterBacklog: 2 * time.Minute, ExitBacklog: time.Minute,
			PolicyAge: 15 * time.Second, Interval: time.Second},
		Teams: map[string]placement.Quota{
			guaranteedTeam: {GuaranteedCPUs: 60}, noisyTeam: {}, firstSmallTeam: {}, secondSmallTeam: {},
		},
		Weights: map[string]float64{},
		CPUs:    constantRate(scenarioCPUs),
		Classes: []Class{
			scenarioClass(guaranteedTeam, "reserve", pipeline.High, 1, 2, 10, 0.15),
			scenarioClass(guaranteedTeam, "archive", pipeline.Low, 4, 2, 20, 0.1*bulkLoad),
			scenarioClass(noisyTeam, "photos", pipeline.Normal, 8, 2, 20, 0.8*bulkLoad),
			scenarioClass(firstSmallTeam, "photos", pipeline.Normal, 4, 2, 20, 0.1),
			scenarioClass(secondSmallTeam, "valuation", pipeline.Normal, 1, 32, 30, 0.15),
		},
	}
}
