package surge

import "time"

// sampleInterval is the time between two samples.
const sampleInterval = time.Second

// Sample is the state of a world at a time, with what was admitted since the previous sample.
type Sample struct {
	At         time.Duration
	Overloaded bool
	Backlog    time.Duration
	Due        []float64 // by class, the fraction of the capacity that the policy assigns
	Admitted   []float64 // by class, the fraction of the capacity that was admitted
}

// sample takes a sample if one is due.
func (r *Result) sample(w *World) {
	if w.now < r.nextSample {
		return
	}
	r.nextSample = w.now + sampleInterval
	policy := &w.leader.stored
	s := Sample{
		At:         w.now,
		Overloaded: policy.Overloaded(),
		Backlog:    w.machines.backlog(w.now),
		Due:        make([]float64, len(r.classes)),
		Admitted:   make([]float64, len(r.classes)),
	}
	outage := w.options.storeOutage(w.now)
	for i := range r.classes {
		s.Admitted[i] = r.classes[i].admittedCost / w.options.CPUs(w.now) / sampleInterval.Seconds()
		r.classes[i].admittedCost = 0
		if outage {
			continue // no job can be accepted, so nothing is due
		}
		c := &w.options.Classes[i]
		for _, share := range policy.Shares {
			if share.Team == c.Team && share.Class == c.Name && share.Priority == c.Priority {
				s.Due[i] = share.FairShare
			}
		}
	}
	r.Samples = append(r.Samples, s)
}

// meanShares returns the fractions of the capacity that were due to a class and admitted of it,
// averaged over the samples under overload.
func (r *Result) meanShares(class int) (due, admitted float64) {
	n := 0
	for _, s := range r.Samples {
		if s.Overloaded {
			due, admitted, n = due+s.Due[class], admitted+s.Admitted[class], n+1
		}
	}
	if n == 0 {
		return 0, 0
	}
	return due / float64(n), admitted / float64(n)
}

// largestGap returns the largest shortfall of what was admitted of a class against what was due to
// it, averaged over a window of the given number of samples. Every window lies within one period of
// overload. The first window of a period is left out, since the control loop has yet to settle.
func (r *Result) largestGap(class, window int) float64 {
	largest := 0.0
	var dueSums, admittedSums []float64 // prefix sums over the samples of the current period
	for _, s := range r.Samples {
		if !s.Overloaded {
			dueSums, admittedSums = nil, nil
			continue
		}
		if dueSums == nil {
			dueSums, admittedSums = []float64{0}, []float64{0}
		}
		n := len(dueSums)
		dueSums = append(dueSums, dueSums[n-1]+s.Due[class])
		admittedSums = append(admittedSums, admittedSums[n-1]+s.Admitted[class])
		if n >= 2*window {
			gap := dueSums[n] - dueSums[n-window] - admittedSums[n] + admittedSums[n-window]
			largest = max(largest, gap/float64(window))
		}
	}
	return largest
}
