package standby

// Outcome is the result of applying a frame to a copy.
type Outcome uint8

// Outcomes.
const (
	// Applied means that the frame was applied, or that a heartbeat's digest matches.
	Applied Outcome = iota
	// Ignored means that the frame's entries weren't used: it is of an earlier term, has nothing new,
	// or is part of a snapshot that isn't needed.
	Ignored
	// Gap means that changes between the copy and the frame, or parts of a snapshot, are missing.
	Gap
	// Mismatch means that the copy's digest differs from the leader's although no change is missing.
	Mismatch
)

// outcomeNames are used in log lines.
var outcomeNames = [...]string{"applied", "ignored", "gap", "mismatch"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// NeedsSnapshot reports whether the copy, or an incomplete snapshot for it, was dropped, so that a
// snapshot has to be requested.
func (o Outcome) NeedsSnapshot() bool { return o == Gap || o == Mismatch }

// Replica is a follower's copy of a leader's warm state. It isn't safe for concurrent use.
type Replica struct {
	term     uint64
	state    entrySet
	sequence uint64            // number of the newest change in the copy
	newest   uint64            // number of the leader's newest change, as far as the frames have shown
	complete bool              // the copy is the leader's whole state at sequence
	incoming *incomingSnapshot // nil if no snapshot is being received
}

// incomingSnapshot is a snapshot of which only the first parts have been received.
type incomingSnapshot struct {
	state    entrySet
	sequence uint64
	nextPart int
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica { return &Replica{state: newEntrySet()} }

// Position returns the copy's position, or the zero Position if the copy isn't complete.
func (r *Replica) Position() Position {
	if !r.complete {
		return Position{}
	}
	return Position{Term: r.term, Sequence: r.sequence}
}

// Term returns the term of the leader whose state is copied.
func (r *Replica) Term() uint64 { return r.term }

// Behind returns how many changes the copy is known to lack, and whether it is complete: the whole
// state at its sequence number.
func (r *Replica) Behind() (changes uint64, complete bool) {
	return r.newest - min(r.newest, r.sequence), r.complete
}

// Snapshot returns the whole copy as one frame. Complete is false if there is no complete copy.
func (r *Replica) Snapshot() (snapshot Frame, complete bool) {
	if !r.complete {
		return Frame{}, false
	}
	return r.state.snapshot(r.Position()), true
}

// Entries returns the copy's entries, sorted by key.
func (r *Replica) Entries() []Entry { return r.state.entries() }

// Size returns the number of entries in the copy.
func (r *Replica) Size() int { return len(r.state.values) }

// Apply applies a frame to the copy. Frames may arrive late, more than once and out of order, and may
// be of any term. A frame of a later term empties the copy of an earlier one first.
func (r *Replica) Apply(f Frame) Outcome {
	switch {
	case f.Term < r.term:
		return Ignored
	case f.Term > r.term:
		r.Reset()
		r.term, r.newest = f.Term, 0
	}
	r.newest = max(r.newest, f.Newest)
	switch f.Kind {
	case Snapshot:
		return r.applySnapshotPart(f)
	case Changes:
		return r.applyChanges(f)
	default:
		return r.compareDigest(f)
	}
}

// Reset empties the copy.
func (r *Replica) Reset() {
	r.state, r.sequence, r.complete, r.incoming = newEntrySet(), 0, false, nil
}

// drop empties the copy and returns the outcome for which it was dropped.
func (r *Replica) drop(outcome Outcome) Outcome {
	r.Reset()
	return outcome
}

// applySnapshotPart adds a part to the incoming snapshot. The current copy stays as it is until the
// last part has been received.
func (r *Replica) applySnapshotPart(f Frame) Outcome {
	if r.complete && f.Sequence < r.sequence {
		return Ignored // the copy is newer than the snapshot
	}
	if f.Part == 0 {
		r.incoming = &incomingSnapshot{state: newEntrySet(), sequence: f.Sequence}
	}
	incoming := r.incoming
	switch {
	case incoming == nil || f.Sequence < incoming.sequence || f.Sequence == incoming.sequence && f.Part < incoming.nextPart:
		return Ignored // a duplicate, or part of an older or abandoned snapshot
	case f.Sequence > incoming.sequence || f.Part > incoming.nextPart:
		r.incoming = nil // a part is missing
		if r.complete {
			return Ignored
		}
		return Gap
	}
	for _, e := range f.Entries {
		incoming.state.set(e)
	}
	incoming.nextPart++
	if !f.Last {
		return Applied
	}
	r.state, r.sequence, r.complete, r.incoming = incoming.state, incoming.sequence, true, nil
	return r.compareDigest(f)
}

// applyChanges applies the changes in a frame that the copy doesn't have yet.
func (r *Replica) applyChanges(f Frame) Outcome {
	first := f.Sequence - uint64(len(f.Entries)) + 1
	switch {
	case !r.complete && r.incoming == nil && first == 1:
		r.complete = true // the frame begins with the first change of the term, so nothing is missing
	case !r.complete:
		return r.drop(Gap)
	}
	switch {
	case f.Sequence <= r.sequence:
		return Ignored
	case first > r.sequence+1:
		return r.drop(Gap)
	}
	for _, e := range f.Entries[r.sequence+1-first:] {
		r.state.set(e)
	}
	r.sequence = f.Sequence
	return r.compareDigest(f)
}

// compareDigest compares the copy's digest with that of a frame at the same sequence number, and drops
// the copy if they differ. A frame at another sequence number can't be compared, since the changes in
// between may still arrive; a Heartbeat or HandOver is ignored then.
func (r *Replica) compareDigest(f Frame) Outcome {
	if !r.complete || f.Sequence != r.sequence {
		if f.Kind == Heartbeat || f.Kind == HandOver {
			return Ignored
		}
		return Applied
	}
	if f.HasDigest && f.Digest != r.state.digest {
		return r.drop(Mismatch)
	}
	return Applied
}
