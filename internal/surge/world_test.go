package surge

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

const (
	// window is the length of the windows in which admitted shares are compared with the due shares.
	window = 2 * time.Minute
	// largestGap is the fraction of the capacity by which an admitted share may fall short of the
	// due share in any window (docs/admission.md).
	largestGap = 0.15
)

// runAndCheck runs a world, checks what must hold in every world, and returns the results by class.
func runAndCheck(t *testing.T, o Options) []ClassResult {
	t.Helper()
	r := New(o).Run()
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	if most := int(o.Length/o.Settings.Interval) + len(o.Faults) + 2; r.Policies() > most {
		t.Errorf("%d policies were stored in %s", r.Policies(), o.Length)
	}
	classes := r.Classes(window)
	for _, c := range classes {
		t.Logf("%-9s %-9s offered %6d admitted %6d gave up %6d due %.3f got %.3f gap %.3f wait %v %v %v admission %v",
			c.Class.Team, c.Class.Name, c.Offered, c.Admitted, c.GaveUp, c.Due, c.Share, c.LargestGap,
			c.WaitP50, c.WaitP90, c.WaitMax, c.AdmissionMax)
		if c.LargestGap > largestGap {
			t.Errorf("%s of %s got %.3f of the capacity less than due in a window of %s",
				c.Class.Name, c.Class.Team, c.LargestGap, window)
		}
		if c.Offered > 20 && c.Admitted == 0 {
			t.Errorf("no job of %s of %s was admitted", c.Class.Name, c.Class.Team)
		}
	}
	t.Log("policies", r.Policies())
	return classes
}

// checkUrgentJobs checks that the urgent jobs of the team with guaranteed CPUs are refused only
// during an outage of the state service, and start almost at once.
func checkUrgentJobs(t *testing.T, classes []ClassResult, outage time.Duration) {
	t.Helper()
	c := classes[urgentClass]
	admittedInTime := c.GaveUp == 0 && c.AdmissionMax <= outage+time.Second
	startedInTime := c.WaitP90 <= 10*time.Second && c.WaitMax <= outage+30*time.Second
	if !admittedInTime || !startedInTime {
		t.Errorf("urgent jobs: %d given up, admitted within %s, started within %s (90%%), %s",
			c.GaveUp, c.AdmissionMax, c.WaitP90, c.WaitMax)
	}
}

// checkSmallTeams checks that the small teams, which ask for no more than their share, give up at
// most one in 50 jobs.
func checkSmallTeams(t *testing.T, classes []ClassResult) {
	t.Helper()
	for _, c := range classes[firstSmallClass:] {
		if c.GaveUp*50 > c.Offered {
			t.Errorf("%s: %d of %d jobs were given up", c.Class.Team, c.GaveUp, c.Offered)
		}
	}
}

// At ten times the normal bulk work, with two failures of the leader, urgent jobs within a
// guarantee are never refused and start almost at once, small teams get what they ask for, and no
// class is refused altogether. It guards against a noisy neighbour that takes the capacity from the
// other teams.
func TestTenTimesLoad(t *testing.T) {
	for seed := range uint64(5) {
		o := NoisyNeighbour(seed, 10)
		o.Faults = []Fault{{From: 8 * time.Minute, LeaderFails: true}, {From: 17 * time.Minute, LeaderFails: true}}
		classes := runAndCheck(t, o)
		checkUrgentJobs(t, classes, 0)
		checkSmallTeams(t, classes)
	}
}

// Without overload no job is refused and one policy is stored. It guards against needless refusals
// and writes.
func TestNormalLoad(t *testing.T) {
	o := NoisyNeighbour(1, 0.5)
	r := New(o).Run()
	for _, c := range r.Classes(window) {
		if c.GaveUp > 0 || c.AdmissionMax > time.Second {
			t.Errorf("%s of %s: %d given up, admitted within %s", c.Class.Name, c.Class.Team, c.GaveUp, c.AdmissionMax)
		}
	}
	if r.Policies() != 1 {
		t.Errorf("%d policies were stored", r.Policies())
	}
}

// hardCase is a change of the options that makes it harder to share the capacity fairly.
type hardCase struct {
	name             string
	change           func(o *Options)
	smallTeamsServed bool // the small teams still get what they ask for
}

func minutes(n float64) time.Duration { return time.Duration(n * float64(time.Minute)) }

var hardCases = []hardCase{
	{"two controllers see the surge at different moments", func(o *Options) {
		o.Faults = []Fault{{From: 0, For: minutes(4), CutOff: []int{1}}}
	}, true},
	{"the flood comes at one controller", func(o *Options) { o.Classes[noisyClass].OneController = true }, true},
	{"a thousand jobs in one second", func(o *Options) {
		o.Classes[noisyClass].PerSecond = func(at time.Duration) float64 {
			if at%minutes(5) < time.Second {
				return 1000
			}
			return 0
		}
	}, true},
	{"the surge begins as the leader ends", func(o *Options) {
		flood := o.Classes[noisyClass].PerSecond
		o.Classes[noisyClass].PerSecond = func(at time.Duration) float64 {
			if at < minutes(5) {
				return 0
			}
			return flood(at)
		}
		o.Faults = []Fault{{From: minutes(5), LeaderFails: true}}
	}, true},
	{"the state service is out during the surge", func(o *Options) {
		o.Faults = []Fault{{From: minutes(6), For: minutes(0.3), StoreOutage: true}}
	}, true},
	{"controllers are cut from the leader", func(o *Options) {
		o.Faults = []Fault{{From: minutes(6), For: minutes(4), CutOff: []int{1, 2}}}
	}, true},
	{"a surge that rises and falls every few seconds", func(o *Options) {
		flood := o.Classes[noisyClass].PerSecond
		o.Classes[noisyClass].PerSecond = func(at time.Duration) float64 {
			if at%(14*time.Second) < 7*time.Second {
				return 2 * flood(at)
			}
			return 0
		}
	}, true},
	{"all teams at ten times", func(o *Options) {
		for i := range o.Classes {
			if i == urgentClass || i == noisyClass {
				continue
			}
			rate := o.Classes[i].PerSecond
			o.Classes[i].PerSecond = func(at time.Duration) float64 { return 10 * rate(at) }
		}
	}, false},
	{"users who come again at once", func(o *Options) { o.Classes[noisyClass].IgnoresRetryAfter = true }, true},
	{"clocks apart", func(o *Options) { o.Skew = 250 * time.Millisecond }, true},
	{"policies that come late and twice", func(o *Options) {
		late := Fault{From: minutes(3), For: minutes(15), PolicyDelay: 2 * time.Second, DuplicatePolicies: true}
		o.Faults = []Fault{late}
	}, true},
	{"capacity falls by half", func(o *Options) {
		o.CPUs = func(at time.Duration) float64 {
			if at > minutes(8) {
				return scenarioCPUs / 2
			}
			return scenarioCPUs
		}
	}, false},
	{"a weight", func(o *Options) { o.Weights = map[string]float64{firstSmallTeam: 3} }, true},
}

// At ten times the normal bulk work, every class is admitted close to its due share in each hard
// case. It guards against shares that are lost because of a fault, the pattern in which jobs
// arrive, or the behaviour of users.
func TestHardCases(t *testing.T) {
	for _, c := range hardCases {
		t.Run(c.name, func(t *testing.T) {
			o := NoisyNeighbour(3, 10)
			c.change(&o)
			classes := runAndCheck(t, o)
			var outage time.Duration
			for _, f := range o.Faults {
				if f.StoreOutage {
					outage = f.For + 5*time.Second // within which users retry
				}
			}
			checkUrgentJobs(t, classes, outage)
			if c.smallTeamsServed {
				checkSmallTeams(t, classes)
			}
		})
	}
}

// Every class is admitted close to its due share with random teams, weights, loads and faults. It
// guards against rules that hold only in the scenarios written by hand.
func TestRandomSurges(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runAndCheck(t, randomWorld(seed)) })
	}
}

// randomWorld returns random options, which depend on the seed alone.
func randomWorld(seed uint64) Options {
	o := NoisyNeighbour(seed, 2)
	o.Length = 15 * time.Minute
	rng := New(o).rng
	o.Teams = map[string]placement.Quota{}
	o.Classes = nil
	for team := range 2 + rng.IntN(4) {
		name := fmt.Sprint("team-", team)
		o.Teams[name] = placement.Quota{GuaranteedCPUs: float64(rng.IntN(2)) * 40}
		o.Weights[name] = 0.5 + 2*rng.Float64()
		for class := range 1 + rng.IntN(3) {
			run := time.Duration(5+rng.IntN(25)) * time.Second
			c := Class{
				Team:              name,
				Name:              fmt.Sprint("class-", class),
				Priority:          pipeline.Priority(1 + rng.IntN(3)),
				Tasks:             1 + rng.IntN(6),
				CPUs:              1 + float64(rng.IntN(4)),
				Run:               run,
				IgnoresRetryAfter: rng.IntN(5) == 0,
			}
			c.PerSecond = constantRate(rng.Float64() * 2 * scenarioCPUs / (float64(c.Tasks) * c.CPUs * run.Seconds()))
			o.Classes = append(o.Classes, c)
		}
	}
	for range rng.IntN(4) {
		from := time.Duration(rng.IntN(13)) * time.Minute
		faults := []Fault{
			{From: from, LeaderFails: true},
			{From: from, For: time.Minute, StoreOutage: true},
			{From: from, For: 3 * time.Minute, CutOff: []int{rng.IntN(3)}},
			{From: from, For: 3 * time.Minute, PolicyDelay: time.Second, DuplicatePolicies: true},
		}
		o.Faults = append(o.Faults, faults[rng.IntN(len(faults))])
	}
	return o
}
