package standby

import (
	"fmt"

	"gingertally/internal/codec"
	"gingertally/internal/core"
)

// keyForm is a record's key as it is replicated.
type keyForm struct {
	_    struct{} `cbor:",toarray"`
	Kind core.WarmKind
	Name string
	Task int
	Zone string
	Spot bool
}

// Encode puts records of the warm state into the form in which they are replicated.
func Encode(records []core.WarmRecord) []Entry {
	entries := make([]Entry, 0, len(records))
	for _, r := range records {
		key := keyForm{Kind: r.Key.Kind, Name: r.Key.Name, Task: r.Key.Task, Zone: r.Key.Zone, Spot: r.Key.Spot}
		entries = append(entries, Entry{Key: string(codec.MustMarshal(key)), Value: encodeValue(&r)})
	}
	return entries
}

func encodeValue(r *core.WarmRecord) []byte {
	switch {
	case r.Machine != nil:
		return codec.MustMarshal(r.Machine)
	case r.Attempt != nil:
		return codec.MustMarshal(r.Attempt)
	case r.Class != nil:
		return codec.MustMarshal(r.Class)
	case r.Offer != nil:
		return codec.MustMarshal(r.Offer)
	case r.Job != nil:
		return codec.MustMarshal(r.Job)
	}
	return nil
}

// Decode reads entries. Records of kinds that aren't known here, as of a later version, are
// left out; one that can't be read spoils the whole.
func Decode(entries []Entry) ([]core.WarmRecord, error) {
	records := make([]core.WarmRecord, 0, len(entries))
	for _, e := range entries {
		var key keyForm
		if err := codec.Unmarshal([]byte(e.Key), &key); err != nil {
			return nil, fmt.Errorf("key of the warm state: %w", err)
		}
		record := core.WarmRecord{Key: core.WarmKey{Kind: key.Kind, Name: key.Name, Task: key.Task, Zone: key.Zone, Spot: key.Spot}}
		known, err := decodeValue(e.Value, &record)
		if err != nil {
			return nil, fmt.Errorf("warm state of %q: %w", key.Name, err)
		}
		if known {
			records = append(records, record)
		}
	}
	return records, nil
}

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
	case core.WarmOfferKind:
		record.Offer = &core.WarmOffer{}
		err = codec.Unmarshal(value, record.Offer)
	case core.WarmJobKind:
		record.Job = &core.WarmJob{}
		err = codec.Unmarshal(value, record.Job)
	default:
		return false, nil
	}
	return true, err
}
