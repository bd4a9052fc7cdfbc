package simulation

import (
	"time"
)

// correlatedFailures adds to a world what large fleets see: many machines that die, hang, restart or lose inbound
// messages together, and controllers that pause for seconds while their clocks run on.
type correlatedFailures struct {
	w *World
	random
}

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

// failMachines has up to all machines fail in one way within a second. Often the leader crashes with them, or all
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
	with := f.rng.IntN(3)
	for _, n := range w.nodes {
		if !n.down && (with == 1 && n.holdsLease() || with == 2) {
			w.after(f.between(0, 2*time.Second), func() {
				if !n.down {
					n.crash(f.between(10*time.Millisecond, 4*time.Second))
				}
			})
		}
	}
}

// pauseNode has a controller pause, mostly the leader. Some crash before they go on.
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

// pauseBeforeAnswer is how long a process paused between the check of its lease and an answer. Seldom is that any time.
func (f *correlatedFailures) pauseBeforeAnswer() time.Duration {
	if f.w.network.reliable || f.rng.IntN(100) > 0 {
		return 0
	}
	return f.between(0, 6*time.Second)
}
