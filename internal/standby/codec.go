package standby

import (
	"fmt"

	"gingertally/internal/codec"
	"gingertally/internal/core"
)

// replicatedKey is a core.WarmKey in the form in which it is replicated. It is encoded as an array, so
// the order and types of its fields are part of the format.
type replicatedKey struct {
	_    struct{} `cbor:",toarray"`
	Kind core.WarmKind
	Name string
	Task int
	Zone string
	Spot bool
}

// Encode encodes records of the warm state as entries. A record without a value becomes an entry
// without one, which deletes the record.
func Encode(records []core.WarmRecord) []Entry {
	entries := make([]Entry, 0, len(records))
	for i := range records {
		key := &records[i].Key
		replicated := replicatedKey{Kind: key.Kind, Name: key.Name, Task: key.Task, Zone: key.Zone, Spot: key.Spot}
		entries = append(entries, Entry{Key: string(codec.MustMarshal(replicated)), Value: encodeValue(&records[i])})
	}
	return entries
}

// encodeValue encodes the value of a record; nil if it has none.
func encodeValue(record *core.WarmRecord) []byte {
	switch {
	case record.Machine != nil:
		return codec.MustMarshal(record.Machine)
	case record.Attempt != nil:
		return codec.MustMarshal(record.Attempt)
	case record.Class != nil:
		return codec.MustMarshal(record.Class)
	case record.Backoff != nil:
		return codec.MustMarshal(record.Backoff)
	case record.Job != nil:
		return codec.MustMarshal(record.Job)
	}
	return nil
}

// Decode decodes the entries of a whole state. Records of kinds that this version doesn't know are
// left out. If an entry can't be decoded, Decode returns no records and an error that wraps
// codec.ErrMalformed: a partial state would be misleading.
func Decode(entries []Entry) ([]core.WarmRecord, error) {
	records := make([]core.WarmRecord, 0, len(entries))
	for _, e := range entries {
		var key replicatedKey
		if err := codec.Unmarshal([]byte(e.Key), &key); err != nil {
			return nil, fmt.Errorf("decode warm state: key %x: %w", e.Key, err)
		}
		record := core.WarmRecord{
			Key: core.WarmKey{Kind: key.Kind, Name: key.Name, Task: key.Task, Zone: key.Zone, Spot: key.Spot},
		}
		known, err := decodeValue(e.Value, &record)
		if err != nil {
			return nil, fmt.Errorf("decode warm state: value of %q: %w", key.Name, err)
		}
		if known {
			records = append(records, record)
		}
	}
	return records, nil
}

// decodeValue decodes the value of a record according to the kind in its key. Known is false if this
// version doesn't know the kind.
func decodeValue(value []byte, record *core.WarmRecord) (known bool, err error) {
	switch record.Key.Kind {
	case core.WarmMachineKind:
		record.Machine = &core.WarmMachine{}
		err = codec.Unmarshal(value, record.Machine)
	case core.WarmAttemptKind:
		record.Attempt = &core.WarmAttempt{}
		err = codec.Unmarshal(value, record.Attempt)
	case core.WarmClassKind:
		record.Class = &core.WarmClass{}
		err = codec.Unmarshal(value, record.Class)
	case core.WarmBackoffKind:
		record.Backoff = &core.WarmBackoff{}
		err = codec.Unmarshal(value, record.Backoff)
	case core.WarmJobKind:
		record.Job = &core.WarmJob{}
		err = codec.Unmarshal(value, record.Job)
	default:
		return false, nil
	}
	return true, err
}
