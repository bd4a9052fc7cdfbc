package fleet

import "time"

// HeartbeatVersion orders the heartbeats of one machine: by fencing token, then incarnation,
// then sequence number. A worker's fencing token never falls, but a worker that restarts counts its
// incarnations and sequence numbers from one again.
type HeartbeatVersion struct{ FencingToken, Incarnation, Sequence uint64 }

// Version returns the heartbeat's version, which orders it among its machine's heartbeats.
func (r *Heartbeat) Version() HeartbeatVersion {
	return HeartbeatVersion{r.FencingToken, r.Incarnation, r.Sequence}
}

// After reports whether the version is later than another. The fencing token is compared first: it
// alone distinguishes the heartbeats of a restarted worker from late copies of those that it sent
// before (docs/design.md, safety argument 5; TestCopyFromFormerIncarnation).
func (p HeartbeatVersion) After(o HeartbeatVersion) bool {
	if p.FencingToken != o.FencingToken {
		return p.FencingToken > o.FencingToken
	}
	return p.CountsPast(o)
}

// CountsPast reports whether the version is later than another by incarnation and sequence number
// alone.
func (p HeartbeatVersion) CountsPast(o HeartbeatVersion) bool {
	return p.Incarnation > o.Incarnation || p.Incarnation == o.Incarnation && p.Sequence > o.Sequence
}

// Restarted reports whether the worker must have restarted between another version and this later
// one: the fencing token is higher, but incarnation and sequence number are not. The other version
// then belongs to a heartbeat from before the restart, usually to a late copy of one.
func (p HeartbeatVersion) Restarted(o HeartbeatVersion) bool {
	return p.FencingToken > o.FencingToken && !p.CountsPast(o)
}

// StaleHeartbeats detects a restart of a worker by its stale heartbeats: those that aren't newer
// than the newest one known. They are late or duplicate copies, or come from a worker that has
// restarted and counts from one again (docs/design.md, safety argument 5; TestWorkerRestarts).
type StaleHeartbeats struct {
	last        HeartbeatVersion // of the last stale heartbeat
	risingSince time.Time        // when the present run of rising stale heartbeats began
	rising      int              // length of that run: each heartbeat is later than the one before
}

// restartHeartbeats is how many consecutive stale heartbeats must rise to show a restart.
const restartHeartbeats = 3

// NoteStale records a stale heartbeat. It reports whether the last stale heartbeats, at least
// restartHeartbeats of them over at least the given time, each had a later incarnation or sequence
// number than the one before, which means that the worker has restarted.
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
