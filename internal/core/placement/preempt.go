package placement

import (
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// largeShare is the part of a machine from which a task counts as large: small
// ones that come later would go on filling the room that it waits for.
const largeShare = 0.3

// spare is what a reserved slot may still give to others.
type spare struct{ cpus, gpus, mem float64 }

func (f spare) plus(a *fleet.Attempt) spare {
	return spare{f.cpus + a.CPUs, f.gpus + a.GPUs, f.mem + a.MemGB}
}

func (f spare) less(sp *pipeline.Spec) spare {
	return spare{f.cpus - sp.CPUs, f.gpus - sp.GPUs, f.mem - sp.MemGB}
}

func (f spare) fits(sp *pipeline.Spec) bool { return HowMany(f.cpus, f.gpus, f.mem, sp) > 0 }

// wait is called for a task that has no room now: room that is coming is kept
// for it, and if it comes too late, room is made by stopping what may be stopped.
func (b *Board) wait(j *pipeline.Job, zones map[string]int) {
	s, at, left := b.soonest(j, zones)
	if s != nil && !at.After(b.Due(j)) {
		b.reserve(s, j, left)
		return
	}
	if b.makeRoom(j, zones) {
		return
	}
	if s != nil {
		b.reserve(s, j, left)
	}
}

// reserve keeps a slot from giving a large task's room to jobs that come later
// in the order.
func (b *Board) reserve(s *Slot, j *pipeline.Job, left spare) {
	if Share(s.Type, &j.Spec) >= largeShare {
		s.reserved = &left
	}
}

func (b *Board) usable(s *Slot, j *pipeline.Job, zones map[string]int) bool {
	return !s.Future && s.reserved == nil && s.Room > 0 && s.Allowed(&j.Spec) && s.Type.Fits(&j.Spec) &&
		ZoneRoom(j, s.Zone, zones) > 0 && !j.BadOn[s.Machine.Name]
}

// soonest is the slot where a task of the job will fit first, when that will
// be, and what will then be left.
func (b *Board) soonest(j *pipeline.Job, zones map[string]int) (best *Slot, at time.Time, left spare) {
	for _, s := range b.Slots {
		if !b.usable(s, j, zones) {
			continue
		}
		if t, rest := b.roomAt(s, &j.Spec); best == nil || t.Before(at) {
			best, at, left = s, t, rest
		}
	}
	return best, at, left
}

func present(m *fleet.Machine) []*fleet.Attempt {
	var out []*fleet.Attempt
	for _, a := range m.Tasks {
		if a.State() != fleet.Exited {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Number != out[k].Number {
			return out[i].Number < out[k].Number
		}
		return out[i].Task < out[k].Task
	})
	return out
}

// roomAt is when a slot will have room for a task, and what will then be left.
func (b *Board) roomAt(s *Slot, sp *pipeline.Spec) (time.Time, spare) {
	ends := present(s.Machine)
	sort.SliceStable(ends, func(i, k int) bool { return b.EndOf(ends[i]).Before(b.EndOf(ends[k])) })
	at, free := b.Now, spare{s.CPUs, s.GPUs, s.MemG}
	for _, a := range ends {
		if free.fits(sp) {
			break
		}
		at, free = b.EndOf(a), free.plus(a)
	}
	return at, free.less(sp)
}

// makeRoom stops what must make way for a task of the job, on the machine where
// that loses the least, and keeps the room for it.
func (b *Board) makeRoom(j *pipeline.Job, zones map[string]int) bool {
	var best *Slot
	var victims []*fleet.Attempt
	var left spare
	low := 0.0
	for _, s := range b.Slots {
		if !b.usable(s, j, zones) {
			continue
		}
		v, cost, rest, ok := b.victims(s, j)
		if ok && (best == nil || cost < low) {
			best, victims, left, low = s, v, rest, cost
		}
	}
	if best == nil {
		return false
	}
	best.reserved = &left
	for _, a := range victims {
		b.Stop(a)
	}
	return true
}

// victims are the attempts on a slot to stop for a task of the job, what that
// costs in seconds of delay and lost work, and what room it leaves.
func (b *Board) victims(s *Slot, j *pipeline.Job) ([]*fleet.Attempt, float64, spare, bool) {
	free := spare{s.CPUs, s.GPUs, s.MemG}
	type candidate struct {
		a    *fleet.Attempt
		cost float64
	}
	var may []candidate
	for _, a := range present(s.Machine) {
		if a.Stopping {
			free = free.plus(a) // on its way out already
			continue
		}
		if cost, ok := b.MayStop(j, a); ok {
			may = append(may, candidate{a, cost})
		}
	}
	sort.SliceStable(may, func(i, k int) bool { return may[i].cost < may[k].cost })
	var out []*fleet.Attempt
	total := 0.0
	for _, c := range may {
		if free.fits(&j.Spec) {
			break
		}
		free, total = free.plus(c.a), total+c.cost
		out = append(out, c.a)
	}
	return out, total, free.less(&j.Spec), free.fits(&j.Spec)
}
