package standby

// Verdict is what became of a frame.
type Verdict uint8

// Verdicts.
const (
	// Applied frames are in the copy.
	Applied Verdict = iota
	// Ignored frames are of an older term or bring nothing new.
	Ignored
	// Gap means that changes before the frame are missing: the copy was dropped.
	Gap
	// Mismatch means that the copy's digest isn't the leader's: the copy was dropped.
	Mismatch
)

var verdictNames = [...]string{"applied", "ignored", "gap", "mismatch"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Lost tells whether the copy was dropped, so that a snapshot has to be asked for.
func (v Verdict) Lost() bool { return v == Gap || v == Mismatch }

// Replica is a follower's copy of a leader's warm state. It isn't safe for concurrent use.
type Replica struct {
	term     uint64
	state    table
	sequence uint64 // of the newest change in the copy
	newest   uint64 // of the newest change that the leader is known to have made
	complete bool   // the copy is the whole state at sequence
	building *snapshotBuild
}

// snapshotBuild is a snapshot of which parts have come.
type snapshotBuild struct {
	state    table
	sequence uint64
	next     int // the part that is to come next
}

// NewReplica makes an empty copy.
func NewReplica() *Replica { return &Replica{state: newTable()} }

// Position is what the copy has; zero unless it is complete.
func (r *Replica) Position() Position {
	if !r.complete {
		return Position{}
	}
	return Position{Term: r.term, Sequence: r.sequence}
}

// Term is the term of the leader that the copy is of.
func (r *Replica) Term() uint64 { return r.term }

// Behind is how many changes the copy is known to lack; false if it isn't complete.
func (r *Replica) Behind() (changes uint64, complete bool) {
	return r.newest - min(r.newest, r.sequence), r.complete
}

// Snapshot is the whole copy as one frame; false if it isn't complete.
func (r *Replica) Snapshot() (Frame, bool) {
	if !r.complete {
		return Frame{}, false
	}
	return Frame{
		Kind: Snapshot, Term: r.term, Sequence: r.sequence, Newest: r.sequence, Entries: r.state.entries(),
		Last: true, HasDigest: true, Digest: r.state.digest,
	}, true
}

// Entries lists the copy's entries by key.
func (r *Replica) Entries() []Entry { return r.state.entries() }

// Size is how many entries the copy has.
func (r *Replica) Size() int { return len(r.state.values) }

// Apply takes a frame in. Frames may come late, twice or out of order, and be of any term.
func (r *Replica) Apply(f Frame) Verdict {
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
		return r.applyPart(f)
	case Changes:
		return r.applyChanges(f)
	default:
		return r.check(f)
	}
}

// Reset drops the copy.
func (r *Replica) Reset() {
	r.state, r.sequence, r.complete, r.building = newTable(), 0, false, nil
}

// lose drops the copy for a reason.
func (r *Replica) lose(why Verdict) Verdict {
	r.Reset()
	return why
}

// applyPart takes in a part of a snapshot. The present copy stays until all parts are there.
func (r *Replica) applyPart(f Frame) Verdict {
	if r.complete && f.Sequence < r.sequence {
		return Ignored // begun before what is there already
	}
	if f.Part == 0 {
		r.building = &snapshotBuild{state: newTable(), sequence: f.Sequence}
	}
	b := r.building
	switch {
	case b == nil || f.Sequence < b.sequence || f.Sequence == b.sequence && f.Part < b.next:
		return Ignored // of a snapshot that was given up, or a copy
	case f.Sequence > b.sequence || f.Part > b.next:
		r.building = nil
		if r.complete {
			return Ignored
		}
		return Gap
	}
	for _, e := range f.Entries {
		b.state.set(e)
	}
	b.next++
	if !f.Last {
		return Applied
	}
	r.state, r.sequence, r.complete, r.building = b.state, b.sequence, true, nil
	return r.check(f)
}

// applyChanges takes in the changes that aren't in the copy yet.
func (r *Replica) applyChanges(f Frame) Verdict {
	first := f.Sequence - uint64(len(f.Entries)) + 1
	switch {
	case !r.complete && r.building == nil && first == 1:
		r.complete = true // from the beginning of the term
	case !r.complete:
		return r.lose(Gap)
	}
	switch {
	case f.Sequence <= r.sequence:
		return Ignored
	case first > r.sequence+1:
		return r.lose(Gap)
	}
	for _, e := range f.Entries[r.sequence+1-first:] {
		r.state.set(e)
	}
	r.sequence = f.Sequence
	return r.check(f)
}

// check compares the copy's digest with that of a frame for the same change. A heartbeat
// that tells of changes which the copy lacks shows nothing: they may still be on their way.
func (r *Replica) check(f Frame) Verdict {
	if !r.complete || f.Sequence != r.sequence {
		if f.Kind == Heartbeat || f.Kind == HandOver {
			return Ignored
		}
		return Applied
	}
	if f.HasDigest && f.Digest != r.state.digest {
		return r.lose(Mismatch)
	}
	return Applied
}
