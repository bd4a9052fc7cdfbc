package leadership

import (
	"fmt"

	"gingertally/internal/codec"
)

// Keys in the state service.
const (
	// HolderKey holds the name of the leader. The key is attached to the leader lease.
	HolderKey = "lead/holder"
	// TermKey holds the number of the newest term. Every write of that term's leader is conditional
	// on the key's modification revision.
	TermKey = "lead/term"
	// RestoredKey exists from when a leader notices that the state service was restored from an older
	// copy until a later leader has reconciled what the restore lost. It holds the highest term that
	// a worker has seen (RestoredValue).
	RestoredKey = "lead/restored"
)

// Term is the period in which one node leads, from its claim on.
type Term struct {
	Number uint64 // increases with each term; also the fencing token of the leader's commands
	// Revision is the modification revision of TermKey, on which every write of the term is
	// conditional.
	Revision uint64
	// Restored is true if RestoredKey existed at the claim: workers had seen higher terms than the
	// state service held, so it had been restored from an older copy.
	Restored bool
}

// holderRecord is the value of HolderKey.
type holderRecord struct {
	Member string `cbor:"m"`
}

// termRecord is the value of TermKey and RestoredKey.
type termRecord struct {
	Number uint64 `cbor:"n"`
}

// RestoredValue returns the value of RestoredKey for the highest term that a worker has seen.
func RestoredValue(highestTerm uint64) []byte { return codec.MustMarshal(termRecord{highestTerm}) }

// RecordError says that the value of a key in the state service can't be decoded.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// decodeRecord decodes the value of a key. The error is a *RecordError.
func decodeRecord(key string, value []byte, record any) error {
	if err := codec.Unmarshal(value, record); err != nil {
		return &RecordError{Key: key, Err: err}
	}
	return nil
}
