package surge

import (
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// Options are a deployment, its load and its faults.
type Options struct {
	Seed        uint64
	Length      time.Duration
	Controllers int
	Teams       map[string]placement.Quota
	Weights     map[string]float64 // by team; 1 where none is set
	Classes     []Class
	CPUs        func(at time.Duration) float64 // capacity, by the time since the beginning
	JobsRate    float64                        // jobs a second that the state service can take
	Admission   bool                           // admission control is on
	Settings    Settings
	Faults      []Fault
	Skew        time.Duration // how far the controllers' clocks are off, in either direction
}

// Class is a class of a team's jobs.
type Class struct {
	Team, Name string
	Priority   pipeline.Priority
	Tasks      int
	CPUs       float64 // of a task
	Run        time.Duration
	// PerSecond is how many jobs are created in a second, by the time since the beginning.
	PerSecond func(at time.Duration) float64
	// Impatient users submit again after a second, whatever Retry-After says.
	Impatient bool
	// OneController sends all of the class's submissions to the same controller.
	OneController bool
}

// Settings are the operators' settings of admission control.
type Settings struct {
	Floor                                float64
	EnterBacklog, ExitBacklog, PolicyAge time.Duration
	Interval                             time.Duration
}

// Fault is what goes wrong in a world for a time. A field that isn't zero is a fault of its kind.
type Fault struct {
	From, For time.Duration
	// LeaderFails ends the leader at From; another one leads after takeoverTime.
	LeaderFails bool
	// StoreOutage is an outage of the state service: no job is accepted and no policy stored.
	StoreOutage bool
	// CutOff lists controllers that the leader doesn't reach.
	CutOff []int
	// PolicyDelay is how much later than usual policies arrive.
	PolicyDelay time.Duration
	// DuplicatePolicies makes policies arrive a second time, late.
	DuplicatePolicies bool
}

// activeFault returns the first fault of a kind that is on at a time; nil if there is none.
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

// cutOff returns the controllers that the leader doesn't reach at a time.
func (o *Options) cutOff(now time.Duration) []int {
	if f := o.activeFault(now, func(f *Fault) bool { return f.CutOff != nil }); f != nil {
		return f.CutOff
	}
	return nil
}

// deliveryFault returns the fault in the delivery of policies at a time; the zero Fault if there is
// none.
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
