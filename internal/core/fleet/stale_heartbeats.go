package fleet

import "time"

// HeartbeatVersion orders the heartbeats of one machine: by fencing token, then incarnation,
// then sequence number.
// A worker's fencing token only rises, but a worker that restarts counts its incarnations and
// sequence numbers from one again.
type HeartbeatVersion struct{ FencingToken, Incarnation, Sequence uint64 }

// Version returns the heartbeat's place in the order of its machine's heartbeats.
func (r *Heartbeat) Version() HeartbeatVersion {
	return HeartbeatVersion{r.FencingToken, r.Incarnation, r.Sequence}
}

// After reports whether a version is later than another. The fencing token comes first: it alone
// tells the heartbeats of a restarted worker from late copies of its former ones
// (docs/design.md, safety argument 5; TestCopyFromFormerIncarnation).
func (p HeartbeatVersion) After(o HeartbeatVersion) bool {
	if p.FencingToken != o.FencingToken {
		return p.FencingToken > o.FencingToken
	}
	return p.CountsPast(o)
}

// CountsPast reports whether incarnation and sequence number alone are past another version's.
func (p HeartbeatVersion) CountsPast(o HeartbeatVersion) bool {
	return p.Incarnation > o.Incarnation || p.Incarnation == o.Incarnation && p.Sequence > o.Sequence
}

// Restarted reports whether a heartbeat of this version, which is after the other, can only
// come from a worker that has restarted in between: its fencing token is higher, but it
// counts from lower numbers. What was known before are late copies.
func (p HeartbeatVersion) Restarted(o HeartbeatVersion) bool {
	return p.FencingToken > o.FencingToken && !p.CountsPast(o)
}

// StaleHeartbeats follows the heartbeats of a machine that are not newer than the newest one
// known. They are late or duplicate copies, or come from a worker that has restarted
// and counts from one again (docs/design.md, safety argument 5; TestWorkerRestarts).
type StaleHeartbeats struct {
	last        HeartbeatVersion
	risingSince time.Time
	rising      int // stale heartbeats in a row, each later than the one before
}

// restartHeartbeats is how many stale heartbeats must rise steadily to show a restart.
const restartHeartbeats = 3

// NoteStale takes in a stale heartbeat. It reports whether such heartbeats have risen steadily
// for at least the given time, so that the worker must have restarted.
func (s *StaleHeartbeats) NoteStale(now time.Time, r *Heartbeat, atLeast time.Duration) (restarted bool) {
	if r.Version().CountsPast(s.last) {
		s.rising++
	} else {
		s.rising = 1
	}
	if s.rising == 1 {
		s.risingSince = now
	}
	s.last = r.Version()
	return s.rising >= restartHeartbeats && now.Sub(s.risingSince) >= atLeast
}
