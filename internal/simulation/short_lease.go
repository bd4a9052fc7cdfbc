package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// shortLease adds the jobs and faults of a deployment with short leases: nodes that compute slowly,
// pause, refuse each other's connections or are refused by the state service alone, zones that are
// cut off for longer than a worker's lease, and clocks at the bound of their drift. Several teams
// with guarantees and limits share a small cloud. A nil shortLease does nothing.
type shortLease struct {
	w *World
	random
	counts eventCounts // events of each kind so far
	jobs   int         // submitted so far
}

// maxDrift is the greatest drift of a steady clock, as a share of the elapsed time.
const maxDrift = 0.0005

// shortLeaseCapacity is offerCapacity in worlds with short leases: one machine of each type in each
// zone, counted separately for spot and on-demand machines, so that teams compete for them.
const shortLeaseCapacity = 1

// borrowingClass is the class of the jobs that use the quota which teams with guarantees leave
// free. Their priority is the highest, so that only a guarantee can preempt them.
const borrowingClass = "borrowed"

func newShortLease(w *World) *shortLease {
	s := &shortLease{w: w, random: newRandom(w.options.Seed, shortLeaseStream), counts: eventCounts{}}
	w.teams = map[string]placement.Quota{
		"red":   {GuaranteedCPUs: 8, GuaranteedGPUs: 2, CPULimit: 24, GPULimit: 4},
		"blue":  {GuaranteedCPUs: 12, CPULimit: 30},
		"amber": {GuaranteedCPUs: 4, CPULimit: 16, GPULimit: 2},
		"green": {},
	}
	return s
}

// start schedules the jobs and the faults. It is called once the world has its nodes.
func (s *shortLease) start() {
	if s == nil {
		return
	}
	s.planServices()
	s.planBorrowing()
	s.planOrdinaryJobs()
	for i := range 7 + s.rng.IntN(5) {
		s.w.after(s.between(8*time.Second, s.w.options.Length-5*time.Second), func() { s.injectFault(i + int(s.w.options.Seed)) })
	}
	if !s.w.options.Faults {
		s.w.after(s.w.options.Length, s.w.endFaults)
	}
}

func (s *shortLease) count(what string) { s.counts[what]++ }

// clockRate returns the rate of a steady clock: at one of the bounds of its drift, or otherwise in
// worlds without short leases.
func (s *shortLease) clockRate(otherwise float64) float64 {
	switch {
	case s == nil:
		return otherwise
	case s.rng.IntN(2) == 0:
		s.count("slow clocks")
		return 1 - maxDrift
	}
	s.count("fast clocks")
	return 1 + maxDrift
}

// cloudCapacity returns the maximum number of machines of one type in one zone, counted separately
// for spot and on-demand machines.
func (s *shortLease) cloudCapacity() int {
	if s == nil {
		return offerCapacity
	}
	return shortLeaseCapacity
}

// submitJob has a user submit a job after some time.
func (s *shortLease) submitJob(at time.Duration, sp pipeline.Spec, run time.Duration) *userJob {
	s.jobs++
	sp.Ref, sp.Image, sp.ImageGB, sp.Estimate = shortLeaseJobRefs.ref(s.jobs), fmt.Sprintf("img-%d", s.rng.IntN(3)), 1, run
	if sp.Class == "" {
		sp.Class = "c"
	}
	return s.w.submitAfter(at, sp, run)
}

// planServices submits services, most of them spread over zones, and some with checkpoints, so that
// they can be moved. They run until long after the faults have ended.
func (s *shortLease) planServices() {
	for _, team := range []string{"red", "blue", "amber"} {
		sp := pipeline.Spec{
			Shape: pipeline.Service, Team: team, Tasks: 2 + s.rng.IntN(3), CPUs: 1, MemGB: 2,
			Priority: pipeline.High, Spread: s.rng.IntN(4) > 0, Spot: s.rng.IntN(2) == 0,
		}
		if s.rng.IntN(2) == 0 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j := s.submitJob(s.between(0, 20*time.Second), sp, endless)
		s.w.after(s.w.options.Length+s.w.options.SettleTime*3/5, j.cancel)
	}
}

// planBorrowing has a team without a guarantee use whatever quota is free, while the jobs of the
// teams with guarantees come and go.
func (s *shortLease) planBorrowing() {
	for i := range 4 {
		at := time.Duration(i) * s.w.options.Length / 5
		spec := pipeline.Spec{
			Class: borrowingClass, Team: "green", Tasks: 14, CPUs: 2, MemGB: 4, Priority: pipeline.Production, Spot: true,
			CheckpointInterval: 3 * time.Second, CheckpointTime: 2 * time.Second,
		}
		s.submitJob(at+s.between(0, 5*time.Second), spec, s.between(40*time.Second, 60*time.Second))
	}
}

// planOrdinaryJobs submits arrays and gangs of the teams with guarantees.
func (s *shortLease) planOrdinaryJobs() {
	for i := range 18 {
		sp := pipeline.Spec{
			Team: []string{"red", "blue", "amber"}[s.rng.IntN(3)], Tasks: 1 + s.rng.IntN(4), CPUs: 2, MemGB: 4,
			Priority: pipeline.Normal, Spot: s.rng.IntN(3) > 0,
		}
		if s.rng.IntN(3) == 0 {
			sp.Shape, sp.Tasks = pipeline.Gang, 2+s.rng.IntN(2)
		}
		if sp.Team == "red" && s.rng.IntN(3) == 0 {
			sp.GPUs, sp.Tasks = 1, min(sp.Tasks, 2)
		}
		if s.rng.IntN(2) == 0 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j := s.submitJob(s.between(0, s.w.options.Length*4/5), sp, s.between(3*time.Second, 30*time.Second))
		j.wantsCancel = i%4 == 0
	}
}
