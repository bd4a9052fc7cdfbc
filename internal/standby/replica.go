package standby

// Outcome says what became of a frame that was applied to a copy.
type Outcome uint8

// Outcomes.
const (
	// Applied says that the copy has what the frame brought.
	Applied Outcome = iota
	// Ignored says that the frame brought nothing new, or is of an earlier term.
	Ignored
	// Gap says that changes between the copy and the frame are missing.
	Gap
	// Mismatch says that the copy's digest isn't the leader's, though no change is missing.
	Mismatch
)

// outcomeNames are shown in the log.
var outcomeNames = [...]string{"applied", "ignored", "gap", "mismatch"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// NeedsSnapshot returns whether the copy was dropped, or a snapshot on its way to it was, so that another
// snapshot has to be requested.
func (o Outcome) NeedsSnapshot() bool { return o == Gap || o == Mismatch }

// Replica is a follower's copy of a leader's warm state. It isn't safe for concurrent use.
type Replica struct {
	term     uint64
	state    entrySet
	sequence uint64 // number of the newest change in the copy
	newest   uint64 // number of the newest change that the leader is known to have made
	complete bool   // the copy is the leader's whole state as of sequence
	incoming *incomingSnapshot
}

// incomingSnapshot is a snapshot of which some parts have come.
type incomingSnapshot struct {
	state    entrySet
	sequence uint64
	nextPart int
}

// NewReplica returns an empty copy.
func NewReplica() *Replica { return &Replica{state: newEntrySet()} }

// Position returns what the copy has; the zero Position unless it is complete.
func (r *Replica) Position() Position {
	if !r.complete {
		return Position{}
	}
	return Position{Term: r.term, Sequence: r.sequence}
}

// Term returns the term of the leader whose state is copied.
func (r *Replica) Term() uint64 { return r.term }

// Behind returns how many changes the copy is known to lack; false if it isn't complete at all.
func (r *Replica) Behind() (changes uint64, complete bool) {
	return r.newest - min(r.newest, r.sequence), r.complete
}

// Snapshot returns the whole copy as one frame; false if it isn't complete.
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

// Apply applies a frame to the copy. Frames may come late, more than once and out of order, and be
// of any term; a frame of a later term replaces the copy of an earlier one.
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

// drop empties the copy and returns the outcome that has made it useless.
func (r *Replica) drop(outcome Outcome) Outcome {
	r.Reset()
	return outcome
}

// applySnapshotPart adds a part to the incoming snapshot. The present copy stays as it is until the
// last part has come.
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
		return Ignored // a duplicate, or of a snapshot that was given up
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

// applyChanges applies those changes of a frame that the copy lacks.
func (r *Replica) applyChanges(f Frame) Outcome {
	first := f.Sequence - uint64(len(f.Entries)) + 1
	switch {
	case !r.complete && r.incoming == nil && first == 1:
		r.complete = true // the frame begins with the first change of the term: nothing is missing
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

// compareDigest compares the copy's digest with that of a frame as of the same change. A heartbeat
// or hand-over as of another change proves nothing, since the changes up to it may still come.
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
