package drain

import "time"

// ClosedWindow is a time of day during which tasks must not be evicted, for example opening hours.
type ClosedWindow struct {
	Days     [7]bool       // weekdays on which the window begins, indexed by time.Weekday
	From, To time.Duration // time of day; if To isn't after From, it is on the next day
	Location *time.Location
}

// searchDays is how many days ahead openFrom searches: more than a week, so that every weekday is
// covered, whatever day the search begins on.
const searchDays = 9

// startingOn returns the start and end of the window that begins daysAfter days after the given day
// in the window's time zone; ok is false if none begins on that weekday.
func (w *ClosedWindow) startingOn(day time.Time, daysAfter int) (from, to time.Time, ok bool) {
	local := day.In(w.Location)
	year, month, date := local.Date()
	first := date + daysAfter
	if !w.Days[time.Date(year, month, first, 12, 0, 0, 0, w.Location).Weekday()] {
		return time.Time{}, time.Time{}, false
	}
	last := first
	if w.To <= w.From {
		last++
	}
	return w.wallClock(year, month, first, w.From), w.wallClock(year, month, last, w.To), true
}

// wallClock returns the time at which clocks at the window's location show the given time of day. On
// days on which daylight saving time begins or ends, that isn't midnight plus the time of day.
func (w *ClosedWindow) wallClock(year int, month time.Month, day int, at time.Duration) time.Time {
	hour, minute, second := at/time.Hour, at%time.Hour/time.Minute, at%time.Minute/time.Second
	return time.Date(year, month, day, int(hour), int(minute), int(second), 0, w.Location)
}

// overlapping returns the latest end of the windows that overlap an interval; ok is false if none
// does. It considers the windows that begin on the day on which the interval begins, on the day
// before and on the day after.
func (w *ClosedWindow) overlapping(begin, end time.Time) (until time.Time, ok bool) {
	for daysAfter := -1; daysAfter <= 1; daysAfter++ {
		from, to, exists := w.startingOn(begin, daysAfter)
		if exists && from.Before(end) && to.After(begin) && to.After(until) {
			until, ok = to, true
		}
	}
	return until, ok
}

// openFrom returns the earliest time, not before now, at which an eviction that takes the given time
// can begin so that no window overlaps it, even if the clock is off by the skew; ok is false if there
// is none within searchDays.
func openFrom(windows []ClosedWindow, now time.Time, takes, skew time.Duration) (open time.Time, ok bool) {
	latest := now.Add(searchDays * 24 * time.Hour)
	for at := now; at.Before(latest); {
		next := at
		for i := range windows {
			until, closed := windows[i].overlapping(at.Add(-skew), at.Add(takes+skew))
			if reopens := until.Add(skew); closed && reopens.After(next) {
				next = reopens
			}
		}
		if !next.After(at) {
			return at, true
		}
		at = next
	}
	return time.Time{}, false
}
