package drain

import "time"

// ClosedWindow is a daily time in which work must not be moved, as opening hours are.
type ClosedWindow struct {
	Days     [7]bool       // by time.Weekday, on which it begins
	From, To time.Duration // time of day; To at or before From is on the next day
	Location *time.Location
}

// searchDays is how many days ahead the end of a closed time is looked for: more than a week,
// so that every weekday has come by.
const searchDays = 9

// startingOn is the window that begins on the day of a moment, shifted by some days.
func (w *ClosedWindow) startingOn(now time.Time, shift int) (from, to time.Time, ok bool) {
	local := now.In(w.Location)
	year, month, day := local.Date()
	if !w.Days[time.Date(year, month, day+shift, 12, 0, 0, 0, w.Location).Weekday()] {
		return time.Time{}, time.Time{}, false
	}
	last := day + shift
	if w.To <= w.From {
		last++
	}
	return w.clock(year, month, day+shift, w.From), w.clock(year, month, last, w.To), true
}

// clock is the moment at which the clocks of a place show a time of a day.
func (w *ClosedWindow) clock(year int, month time.Month, day int, at time.Duration) time.Time {
	return time.Date(year, month, day, int(at/time.Hour), int(at%time.Hour/time.Minute), int(at%time.Minute/time.Second), 0, w.Location)
}

// overlapping is the end of the window that an interval overlaps; ok is false if none.
func (w *ClosedWindow) overlapping(begin, end time.Time) (until time.Time, ok bool) {
	for shift := -1; shift <= 1; shift++ {
		from, to, exists := w.startingOn(begin, shift)
		if exists && from.Before(end) && to.After(begin) && to.After(until) {
			until, ok = to, true
		}
	}
	return until, ok
}

// openFrom is the first moment at or after now from which none of the windows is closed for as
// long as something takes, whatever the clock is off; ok is false if there is none in over a
// week.
func openFrom(windows []ClosedWindow, now time.Time, takes, skew time.Duration) (open time.Time, ok bool) {
	latest := now.Add(searchDays * 24 * time.Hour)
	for at := now; at.Before(latest); {
		next := at
		for i := range windows {
			if until, closed := windows[i].overlapping(at.Add(-skew), at.Add(takes+skew)); closed && until.Add(skew).After(next) {
				next = until.Add(skew)
			}
		}
		if !next.After(at) {
			return at, true
		}
		at = next
	}
	return time.Time{}, false
}
