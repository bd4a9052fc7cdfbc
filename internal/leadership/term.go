package leadership

import (
	"fmt"

	"gingertally/internal/codec"
)

// Keys of the state service.
const (
	// HolderKey names the leader. It is attached to the leader's lease.
	HolderKey = "lead/holder"
	// TermKey holds the number of the newest term. Its modification revision is the condition of
	// every write of that term's leader.
	TermKey = "lead/term"
	// RestoredKey exists from when a restore of the state service was found until the leader has
	// settled what was forgotten. It holds the highest term that a worker has seen (RestoredValue).
	RestoredKey = "lead/restored"
)

// Term is the time of one leader.
type Term struct {
	Number uint64 // rises with each term; also the fencing token of the leader's commands
	// Revision is the modification revision of TermKey: the condition of every write of the term.
	Revision uint64
	// Restored says that workers have seen higher terms than the state service knew: it
	// was restored from an older copy.
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

// RestoredValue is the value of RestoredKey.
func RestoredValue(highestTerm uint64) []byte { return codec.MustMarshal(termRecord{highestTerm}) }

// RecordError says that a record of the state service can't be read.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// decodeRecord reads a record of the state service.
func decodeRecord(key string, value []byte, record any) error {
	if err := codec.Unmarshal(value, record); err != nil {
		return &RecordError{Key: key, Err: err}
	}
	return nil
}
