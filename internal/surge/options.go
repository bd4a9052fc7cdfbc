package surge

import (
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// Options describes a simulated deployment, its load and its faults.
type Options struct {
	Seed        uint64
	Length      time.Duration
	Controllers int
	Teams       map[string]placement.Quota
	Weights     map[string]float64 // by team; 1 where none is set
	Classes     []Class
	CPUs        func(at time.Duration) float64 // capacity, by the time since the start
	JobsRate    float64                        // jobs per second that the state service can accept
	Admission   bool                           // whether admission control is enabled
	Settings    Settings
	Faults      []Fault
	Skew        time.Duration // even-numbered controllers' clocks are ahead by it, the others behind
}

// Class describes the jobs of one of a team's classes.
type Class struct {
	Team, Name string
	Priority   pipeline.Priority
	Tasks      int           // per job
	CPUs       float64       // per task
	Run        time.Duration // run time of a task
	// PerSecond returns the rate at which jobs are created, by the time since the start.
	PerSecond func(at time.Duration) float64
	// IgnoresRetryAfter has users retry after minRetryPause, whatever Retry-After says.
	IgnoresRetryAfter bool
	// OneController sends all of the class's submissions to the same controller.
	OneController bool
}

// Settings are the operators' settings for admission control.
type Settings struct {
	Floor                                float64
	EnterBacklog, ExitBacklog, PolicyAge time.Duration
	Interval                             time.Duration
}

// Fault is what goes wrong in a world for a time. Each field besides From and For that isn't zero is a
// fault of its kind.
type Fault struct {
	From, For time.Duration
	// LeaderFails ends the leader at From, whatever For is; another one leads after takeoverTime.
	LeaderFails bool
	// StoreOutage is an outage of the state service: no job is accepted and no policy stored.
	StoreOutage bool
	// CutOff lists the controllers that the leader can't reach.
	CutOff []int
	// PolicyDelay is how much later than usual policies arrive.
	PolicyDelay time.Duration
	// DuplicatePolicies delivers each policy a second time, duplicateDelay later.
	DuplicatePolicies bool
}

// activeFault returns the first fault of a kind that is active at a time, or nil if there is none.
func (o *Options) activeFault(now time.Duration, kind func(*Fault) bool) *Fault {
	for i := range o.Faults {
		f := &o.Faults[i]
		if kind(f) && now >= f.From && now < f.From+f.For {
			return f
		}
	}
	return nil
}

// storeOutage reports whether the state service has an outage at a time.
func (o *Options) storeOutage(now time.Duration) bool {
	return o.activeFault(now, func(f *Fault) bool { return f.StoreOutage }) != nil
}

// cutOff returns the controllers that the leader can't reach at a time.
func (o *Options) cutOff(now time.Duration) []int {
	if f := o.activeFault(now, func(f *Fault) bool { return f.CutOff != nil }); f != nil {
		return f.CutOff
	}
	return nil
}

// deliveryFault returns the fault in the delivery of policies at a time, or the zero Fault if there
// is none.
func (o *Options) deliveryFault(now time.Duration) Fault {
	if f := o.activeFault(now, func(f *Fault) bool { return f.PolicyDelay > 0 || f.DuplicatePolicies }); f != nil {
		return *f
	}
	return Fault{}
}

// weightOf returns a team's weight, which is 1 if none is set.
func (o *Options) weightOf(team string) float64 {
	if w, set := o.Weights[team]; set {
		return w
	}
	return 1
}
