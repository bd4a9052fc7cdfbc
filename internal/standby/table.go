package standby

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is a record of the warm state as it is replicated. Without a value it says that the
// record is gone.
type Entry struct {
	Key   string
	Value []byte
}

// hash is the entry's part of a table's digest.
func (e Entry) hash() uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(e.Key)))
	digest := xxhash.New()
	_, _ = digest.Write(length[:]) // never fails
	_, _ = digest.WriteString(e.Key)
	_, _ = digest.Write(e.Value)
	return digest.Sum64()
}

// table is a set of entries with a digest that doesn't depend on the order in which they
// came.
type table struct {
	values map[string][]byte
	digest uint64
}

func newTable() table { return table{values: map[string][]byte{}} }

// set takes an entry in; false if it changes nothing.
func (t *table) set(e Entry) bool {
	old, known := t.values[e.Key]
	if known == (e.Value != nil) && bytes.Equal(old, e.Value) {
		return false
	}
	if known {
		t.digest ^= Entry{Key: e.Key, Value: old}.hash()
	}
	if e.Value == nil {
		delete(t.values, e.Key)
		return true
	}
	t.digest ^= e.hash()
	t.values[e.Key] = e.Value
	return true
}

// entries lists all entries by key.
func (t *table) entries() []Entry {
	out := make([]Entry, 0, len(t.values))
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		out = append(out, Entry{Key: key, Value: t.values[key]})
	}
	return out
}
