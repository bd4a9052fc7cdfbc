package fleet

import (
	"slices"
	"time"
)

// Image is an image that a machine is believed to have.
type Image struct {
	Name  string
	GB    float64
	Ready time.Time // when it is expected to be there
}

// Images lists the images that the machine is believed to have, most recently used last.
func (m *Machine) Images() []Image { return m.images }

// SetImages takes over which images the machine is believed to have.
func (m *Machine) SetImages(images []Image) { m.images = images }

// FetchLeft is how long until an image is expected to be there; one that isn't
// being fetched yet shares the rate with those that are, until the shorter of
// the two is there.
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

// UseImage notes that a task with an image was started; the cache keeps the
// most recently used ones.
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

// ImageThere notes that a task past its fetch was seen, perhaps one that an
// earlier leader started. It reports whether the image is news.
func (m *Machine) ImageThere(now time.Time, name string, gb float64) bool {
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

// FetchGivenUp notes that a task which waited for an image is gone, in the given state: a
// machine gives a fetch up that no task waits for any more. A task that was reported as
// fetching shows that the image wasn't there. It reports whether the image was believed
// there.
func (m *Machine) FetchGivenUp(now time.Time, name string, was AttemptState) bool {
	for _, a := range m.attempts {
		if a.Image == name && (a.state == Sent || a.state == Fetching) {
			return false
		}
	}
	for _, i := range m.images {
		if i.Name == name && (was == Fetching || i.Ready.After(now)) {
			m.RemoveImage(name)
			return true
		}
	}
	return false
}

// RemoveImage notes that an image isn't there after all.
func (m *Machine) RemoveImage(name string) {
	m.images = slices.DeleteFunc(m.images, func(i Image) bool { return i.Name == name })
}
