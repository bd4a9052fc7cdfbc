package fleet

import (
	"slices"
	"time"
)

// Image is an image that a machine is believed to have, or to be fetching.
type Image struct {
	Name  string
	GB    float64
	Ready time.Time // when the fetch is expected to be complete
}

// Images lists the images that the machine is believed to have, the most recently used last.
func (m *Machine) Images() []Image { return m.images }

// SetImages replaces the images that the machine is believed to have.
func (m *Machine) SetImages(images []Image) { m.images = images }

// FetchLeft estimates how long it takes until an image of the given size is on the machine. For a
// listed image that is the time until Ready. Any other image shares the machine's rate (GB per
// second) with each fetch under way until one of the two is complete, so each fetch adds the shorter
// of its remaining time and the time that the image would need alone. Without a rate it returns 0.
func (m *Machine) FetchLeft(now time.Time, name string, gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	alone := time.Duration(gb / rate * float64(time.Second))
	all := alone
	for _, i := range m.images {
		left := max(0, i.Ready.Sub(now))
		if i.Name == name {
			return left
		}
		all += min(alone, left)
	}
	return all
}

// UseImage records that a task with an image was started, which makes the image the most recently
// used one. If the images exceed cacheGB in total, the least recently used ones are assumed to be
// evicted, but never this one.
func (m *Machine) UseImage(now time.Time, name string, gb, cacheGB, rate float64) {
	ready := now.Add(m.FetchLeft(now, name, gb, rate))
	m.RemoveImage(name)
	m.images = append(m.images, Image{name, gb, ready})
	var total float64
	for _, i := range m.images {
		total += i.GB
	}
	for len(m.images) > 1 && total > cacheGB {
		total -= m.images[0].GB
		m.images = m.images[1:]
	}
}

// ConfirmImage records that the image is on the machine, since a task with it was reported in a
// state other than Fetching; an earlier leader may have started that task. It returns true if the
// image wasn't listed.
func (m *Machine) ConfirmImage(now time.Time, name string, gb float64) bool {
	for i := range m.images {
		if m.images[i].Name == name {
			if m.images[i].Ready.After(now) {
				m.images[i].Ready = now
			}
			return false
		}
	}
	m.images = append(m.images, Image{name, gb, now})
	return true
}

// FetchAbandoned is called when an attempt that may have waited for an image has ended; lastState is
// its state before that. If no other attempt on the machine waits for the image, the worker abandons
// the fetch, so the image is removed if it can't be there yet: the attempt was reported as fetching
// it, or the fetch isn't expected to be complete. It returns true if the image was removed.
func (m *Machine) FetchAbandoned(now time.Time, name string, lastState AttemptState) bool {
	for _, a := range m.attempts {
		if a.Image == name && (a.state == Sent || a.state == Fetching) {
			return false
		}
	}
	for _, i := range m.images {
		if i.Name == name && (lastState == Fetching || i.Ready.After(now)) {
			m.RemoveImage(name)
			return true
		}
	}
	return false
}

// RemoveImage removes an image from those that the machine is believed to have.
func (m *Machine) RemoveImage(name string) {
	m.images = slices.DeleteFunc(m.images, func(i Image) bool { return i.Name == name })
}
