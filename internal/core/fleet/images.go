package fleet

import "time"

// Image is an image that a machine is believed to have.
type Image struct {
	Name  string
	GB    float64
	Ready time.Time // when it is expected to be there
}

// FetchLeft is how long until an image is expected to be there; one that isn't
// being fetched yet shares the rate with those that are, until the shorter of
// the two is there.
func (m *Machine) FetchLeft(now time.Time, name string, gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	alone := time.Duration(gb / rate * float64(time.Second))
	all := alone
	for _, i := range m.Images {
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
	m.Images = append(m.Images, Image{name, gb, ready})
	var total float64
	for _, i := range m.Images {
		total += i.GB
	}
	for len(m.Images) > 1 && total > cacheGB {
		total -= m.Images[0].GB
		m.Images = m.Images[1:]
	}
}

// ImageThere notes that a task past its fetch was seen, perhaps one that an
// earlier leader started. It tells whether the image is news.
func (m *Machine) ImageThere(now time.Time, name string, gb float64) bool {
	for i := range m.Images {
		if m.Images[i].Name == name {
			if m.Images[i].Ready.After(now) {
				m.Images[i].Ready = now
			}
			return false
		}
	}
	m.Images = append(m.Images, Image{name, gb, now})
	return true
}

// FetchGivenUp notes that a task which waited for an image is gone, in the given state: a
// machine gives a fetch up that no task waits for any more. A task that was reported as
// fetching shows that the image wasn't there. It tells whether the image was believed
// there.
func (m *Machine) FetchGivenUp(now time.Time, name string, was TaskState) bool {
	for _, a := range m.Attempts {
		if a.Image == name && (a.state == Sent || a.state == Fetching) {
			return false
		}
	}
	for _, i := range m.Images {
		if i.Name == name && (was == Fetching || i.Ready.After(now)) {
			m.RemoveImage(name)
			return true
		}
	}
	return false
}

// RemoveImage notes that an image isn't there after all.
func (m *Machine) RemoveImage(name string) {
	kept := m.Images[:0]
	for _, i := range m.Images {
		if i.Name != name {
			kept = append(kept, i)
		}
	}
	m.Images = kept
}
