package simulation

import (
	"time"
)

// correlatedFailures injects failures as large fleets see them: many machines die, hang, restart or
// lose inbound messages together, and controllers pause for seconds while their clocks run on.
type correlatedFailures struct {
	w *World
	random
}

// planCorrelatedFailures schedules the correlated failures of a world at random times.
func (w *World) planCorrelatedFailures() {
	f := &correlatedFailures{w: w, random: newRandom(w.options.Seed, correlatedStream)}
	w.correlated = f
	for range 3 + f.rng.IntN(4) {
		w.after(f.between(0, w.options.Length), f.failMachines)
	}
	for range 3 + f.rng.IntN(6) {
		w.after(f.between(0, w.options.Length), f.pauseNode)
	}
}

// failMachines has each machine fail with a probability between 0.2 and 1, all in the same way and
// within a second. In a third of the cases the leader crashes with them, and in another third all
// controllers do.
func (f *correlatedFailures) failMachines() {
	w := f.w
	share, kind := 0.2+0.8*f.rng.Float64(), f.rng.IntN(5)
	hang := f.between(time.Second, 3*w.options.Lease)
	for _, m := range w.sortedMachines() {
		if f.rng.Float64() > share {
			continue
		}
		w.after(f.between(0, time.Second), func() {
			switch {
			case m.dead || !m.isUp:
			case kind == 0:
				m.terminate()
			case kind == 1:
				m.reboot()
			case kind == 2 && !w.network.reliable:
				m.inboundLost = true
				w.after(hang, func() { m.inboundLost = false })
			default:
				m.hungUntil = w.now.Add(hang)
			}
		})
	}
	crashes := f.rng.IntN(3)
	for _, n := range w.nodes {
		if !n.down && (crashes == 1 && n.holdsLease() || crashes == 2) {
			w.after(f.between(0, 2*time.Second), func() {
				if !n.down {
					n.crash(f.between(10*time.Millisecond, 4*time.Second))
				}
			})
		}
	}
}

// pauseNode pauses a controller, mostly the leader. A fifth of the paused controllers crash before
// they resume.
func (f *correlatedFailures) pauseNode() {
	w := f.w
	n := w.nodes[f.rng.IntN(len(w.nodes))]
	for _, o := range w.nodes {
		if o.holdsLease() && f.rng.Float64() < 0.7 {
			n = o
		}
	}
	if n.down {
		return
	}
	d := f.between(500*time.Millisecond, 6*time.Second)
	if f.rng.IntN(3) == 0 {
		d = f.between(6*time.Second, 60*time.Second)
	}
	n.pausedUntil = w.now.Add(d)
	if incarnation := n.incarnation; f.rng.IntN(5) == 0 {
		w.after(f.between(0, d), func() {
			if n.incarnation == incarnation && !n.down {
				n.crash(f.between(10*time.Millisecond, 4*time.Second))
			}
		})
	}
}

// pauseBeforeAnswer is how long a controller is paused between the check of its lease and the
// sending of an answer: 0 except in one of a hundred cases, and always 0 once the faults have
// ended.
func (f *correlatedFailures) pauseBeforeAnswer() time.Duration {
	if f.w.network.reliable || f.rng.IntN(100) > 0 {
		return 0
	}
	return f.between(0, 6*time.Second)
}
