package fleet

import "time"

// Epoch orders the heartbeats of one machine: by fencing token, then session, then sequence number.
// A worker's fencing token only rises, but a worker that restarts counts its sessions and
// sequence numbers from one again.
type Epoch struct{ FencingToken, Session, Seq uint64 }

// Epoch returns the heartbeat's place in the order of its machine's heartbeats.
func (r *Heartbeat) Epoch() Epoch { return Epoch{r.FencingToken, r.Session, r.Seq} }

// Epoch returns the place of the newest heartbeat known of the machine.
func (m *Machine) Epoch() Epoch { return Epoch{m.FencingToken, m.Session, m.Seq} }

// After tells whether an epoch is later than another. The fencing token comes first: it alone
// tells the heartbeats of a restarted worker from late copies of its former ones
// (docs/design.md, safety argument 5; TestCopyFromFormerLife).
func (p Epoch) After(o Epoch) bool {
	if p.FencingToken != o.FencingToken {
		return p.FencingToken > o.FencingToken
	}
	return p.CountsPast(o)
}

// CountsPast tells whether session and sequence number alone are past another epoch's.
func (p Epoch) CountsPast(o Epoch) bool {
	return p.Session > o.Session || p.Session == o.Session && p.Seq > o.Seq
}

// Restarted tells whether a heartbeat of this epoch, which is after the other, can only
// come from a worker that has restarted in between: its fencing token is higher, but it
// counts from lower numbers. What was known before are late copies.
func (p Epoch) Restarted(o Epoch) bool { return p.FencingToken > o.FencingToken && !p.CountsPast(o) }

// StaleHeartbeats follows the heartbeats of a machine that are not newer than the newest one
// known. They are late or duplicate copies, or come from a worker that has restarted
// and counts from one again (docs/design.md, safety argument 5; TestWorkerRestarts).
type StaleHeartbeats struct {
	last        Epoch
	risingSince time.Time
	rising      int // stale heartbeats in a row, each later than the one before
}

// restartHeartbeats is how many stale heartbeats must rise steadily to show a restart.
const restartHeartbeats = 3

// NoteStale takes in a stale heartbeat. It tells whether such heartbeats have risen steadily
// for at least the given time, so that the worker must have restarted.
func (s *StaleHeartbeats) NoteStale(now time.Time, r *Heartbeat, atLeast time.Duration) (restarted bool) {
	if r.Epoch().CountsPast(s.last) {
		s.rising++
	} else {
		s.rising = 1
	}
	if s.rising == 1 {
		s.risingSince = now
	}
	s.last = r.Epoch()
	return s.rising >= restartHeartbeats && now.Sub(s.risingSince) >= atLeast
}
