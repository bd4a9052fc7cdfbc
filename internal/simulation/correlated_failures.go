package simulation

import (
	"math/rand/v2"
	"time"
)

// correlatedFailures adds to a world what large fleets see: many machines that stop, hang,
// start anew or go deaf together, and controllers that stand still for seconds
// while their clocks run on. It draws luck of its own, so that the other worlds of
// the same seed stay what they are.
type correlatedFailures struct {
	w   *World
	rng *rand.Rand
}

func (w *World) planCorrelatedFailures() {
	f := &correlatedFailures{w: w, rng: rand.New(rand.NewPCG(w.o.Seed, 11))}
	w.correlated = f
	for range 3 + f.rng.IntN(4) {
		w.after(f.between(0, w.o.Length), f.failMachines)
	}
	for range 3 + f.rng.IntN(6) {
		w.after(f.between(0, w.o.Length), f.stallNode)
	}
}

func (f *correlatedFailures) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)+1))
}

// failMachines has up to all machines fall in one way within a second, often
// with the leader, or all controllers.
func (f *correlatedFailures) failMachines() {
	w := f.w
	share, kind := 0.2+0.8*f.rng.Float64(), f.rng.IntN(5)
	hang := f.between(time.Second, 3*w.o.Lease)
	for _, m := range w.sortedMachines() {
		if f.rng.Float64() > share {
			continue
		}
		w.after(f.between(0, time.Second), func() {
			switch {
			case m.dead || !m.isUp:
			case kind == 0:
				m.die()
			case kind == 1:
				m.reboot()
			case kind == 2 && !w.noNet:
				m.deaf = true
				w.after(hang, func() { m.deaf = false })
			default:
				m.hungUntil = w.now.Add(hang)
			}
		})
	}
	with := f.rng.IntN(3)
	for _, n := range w.nodes {
		if !n.down && (with == 1 && n.entitled() || with == 2) {
			w.after(f.between(0, 2*time.Second), func() {
				if !n.down {
					n.crash(f.between(10*time.Millisecond, 4*time.Second))
				}
			})
		}
	}
}

// stallNode has a controller stand still, mostly the leader; some end before
// they go on.
func (f *correlatedFailures) stallNode() {
	w := f.w
	n := w.nodes[f.rng.IntN(len(w.nodes))]
	for _, o := range w.nodes {
		if o.entitled() && f.rng.Float64() < 0.7 {
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
	n.stillUntil = w.now.Add(d)
	if life := n.life; f.rng.IntN(5) == 0 {
		w.after(f.between(0, d), func() {
			if n.life == life && !n.down {
				n.crash(f.between(10*time.Millisecond, 4*time.Second))
			}
		})
	}
}

// standstill is how long an answer lay in a process that stood still after it had
// checked its right to give it: seldom any time.
func (f *correlatedFailures) stallBeforeAnswer() time.Duration {
	if f.w.noNet || f.rng.IntN(100) > 0 {
		return 0
	}
	return f.between(0, 6*time.Second)
}
