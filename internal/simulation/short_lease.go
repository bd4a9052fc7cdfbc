package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// shortLease adds to a world what a deployment with short leases meets: nodes that compute slowly, pause, refuse each
// other or are refused by the state service alone, zones cut off for longer than a worker's lease, and clocks at the
// bound of their drift, in a small cloud that several teams with guarantees and limits share. A nil shortLease does
// nothing.
type shortLease struct {
	w *World
	random
	counts eventCounts // what came about, and how often
	jobs   int         // submitted so far
}

// maxDrift is the most that a steady clock gains or loses, as a share of the time.
const maxDrift = 0.0005

// shortLeaseOffer is the capacity of each type, zone and kind in these worlds: little
// enough for teams to be in each other's way.
const shortLeaseOffer = 1

// borrowed is the class of the jobs that fill what other teams don't use. They are the
// most urgent of all, so that only a guarantee can stop one.
const borrowed = "borrowed"

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

// start plans the jobs and the faults, once the world has its nodes.
func (s *shortLease) start() {
	if s == nil {
		return
	}
	s.planServices()
	s.planBorrowing()
	s.planOrdinary()
	for i := range 7 + s.rng.IntN(5) {
		s.w.after(s.between(8*time.Second, s.w.options.Length-5*time.Second), func() { s.fault(i + int(s.w.options.Seed)) })
	}
	if !s.w.options.Faults {
		s.w.after(s.w.options.Length, s.w.endFaults)
	}
}

func (s *shortLease) count(what string) { s.counts[what]++ }

// clockRate is the rate of a steady clock: at its bound, in either direction.
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

// offer is the capacity of each type, zone and kind.
func (s *shortLease) offer() int {
	if s == nil {
		return offerCapacity
	}
	return shortLeaseOffer
}

// add has a user submit a job after some time.
func (s *shortLease) add(at time.Duration, sp pipeline.Spec, run time.Duration) *userJob {
	s.jobs++
	sp.Ref, sp.Image, sp.ImageGB, sp.Estimate = shortLeaseJobRefs.ref(s.jobs), fmt.Sprintf("img-%d", s.rng.IntN(3)), 1, run
	if sp.Class == "" {
		sp.Class = "c"
	}
	return s.w.submitAfter(at, sp, run)
}

// planServices submits services, most of them spread over zones, and some with checkpoints, which can be moved. They go
// on for long after the faults.
func (s *shortLease) planServices() {
	for _, team := range []string{"red", "blue", "amber"} {
		sp := pipeline.Spec{
			Shape: pipeline.Service, Team: team, Tasks: 2 + s.rng.IntN(3), CPUs: 1, MemGB: 2,
			Priority: pipeline.High, Spread: s.rng.IntN(4) > 0, Spot: s.rng.IntN(2) == 0,
		}
		if s.rng.IntN(2) == 0 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j := s.add(s.between(0, 20*time.Second), sp, endless)
		s.w.after(s.w.options.Length+s.w.options.SettleTime*3/5, j.cancel)
	}
}

// planBorrowing has a team without a guarantee use whatever quota is free, while the jobs of the teams with guarantees
// come and go.
func (s *shortLease) planBorrowing() {
	for i := range 4 {
		at := time.Duration(i) * s.w.options.Length / 5
		spec := pipeline.Spec{
			Class: borrowed, Team: "green", Tasks: 14, CPUs: 2, MemGB: 4, Priority: pipeline.Production, Spot: true,
			CheckpointInterval: 3 * time.Second, CheckpointTime: 2 * time.Second,
		}
		s.add(at+s.between(0, 5*time.Second), spec, s.between(40*time.Second, 60*time.Second))
	}
}

// planOrdinary submits arrays and gangs of the teams with guarantees.
func (s *shortLease) planOrdinary() {
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
		j := s.add(s.between(0, s.w.options.Length*4/5), sp, s.between(3*time.Second, 30*time.Second))
		j.wantsCancel = i%4 == 0
	}
}
