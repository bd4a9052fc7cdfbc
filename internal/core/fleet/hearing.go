package fleet

import "time"

// Deafness collects the signs that a machine's reports arrive but what it is
// told does not: commands that the next report shows no trace of, or a lease
// that ends at the worker although its reports were answered.
type Deafness struct {
	Told  bool      // the last answer asked for something that the next report must show
	Since time.Time // the first of the present run of unheeded answers; zero: none
	Last  time.Time // the last of them
	Count int       // how many answers in a row were not heeded
}

// Heeded notes that something it was told showed.
func (d *Deafness) Heeded() { d.Since, d.Count, d.Told = time.Time{}, 0, false }

// Ignored notes that something it was told did not show.
func (d *Deafness) Ignored(now time.Time) {
	if d.Since.IsZero() {
		d.Since = now
	}
	d.Last = now
	d.Count++
	d.Told = false
}

// Over tells whether a worker that still is in the session it was in must have
// had an answer since: its lease would otherwise have ended.
func (d *Deafness) Over(now time.Time, lease time.Duration) bool {
	return d.Count > 0 && now.Sub(d.Last) > lease+lease/500+2*time.Second
}

// Regress watches reports that are older than the newest one known: late copies
// of old ones, or a machine whose worker has started anew and counts from one.
type Regress struct {
	session, seq uint64
	first        time.Time
	rising       int
}

// Note takes in such a report. It tells whether they have risen steadily for so
// long that a worker must have started anew.
func (g *Regress) Note(now time.Time, r *Report, long time.Duration) bool {
	if r.Session > g.session || r.Session == g.session && r.Seq > g.seq {
		g.rising++
	} else {
		g.rising = 1
	}
	if g.rising == 1 {
		g.first = now
	}
	g.session, g.seq = r.Session, r.Seq
	return g.rising >= 3 && now.Sub(g.first) >= long
}
