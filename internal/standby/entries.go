package standby

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is a record of the warm state in its encoded form, or a change to one. A nil Value means that
// the record was deleted.
type Entry struct {
	Key   string
	Value []byte
}

// hash returns the entry's contribution to the digest of an entrySet.
func (e Entry) hash() uint64 {
	var keyLength [8]byte
	binary.LittleEndian.PutUint64(keyLength[:], uint64(len(e.Key)))
	digest := xxhash.New()
	_, _ = digest.Write(keyLength[:]) // never fails
	_, _ = digest.WriteString(e.Key)
	_, _ = digest.Write(e.Value)
	return digest.Sum64()
}

// entrySet is the whole warm state as a set of entries, with a digest. The digest is the XOR of the
// entries' hashes, so that it can be updated with each change and doesn't depend on the order of the
// changes. Values are never modified in place.
type entrySet struct {
	values map[string][]byte
	digest uint64
}

func newEntrySet() entrySet { return entrySet{values: map[string][]byte{}} }

// set applies a change, and reports whether it changed anything.
func (s *entrySet) set(e Entry) bool {
	old, known := s.values[e.Key]
	if known == (e.Value != nil) && bytes.Equal(old, e.Value) {
		return false
	}
	if known {
		s.digest ^= Entry{Key: e.Key, Value: old}.hash()
	}
	if e.Value == nil {
		delete(s.values, e.Key)
		return true
	}
	s.digest ^= e.hash()
	s.values[e.Key] = e.Value
	return true
}

// entries returns all entries, sorted by key.
func (s *entrySet) entries() []Entry {
	sorted := make([]Entry, 0, len(s.values))
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		sorted = append(sorted, Entry{Key: key, Value: s.values[key]})
	}
	return sorted
}

// snapshot returns the whole set as one Snapshot frame with a digest.
func (s *entrySet) snapshot(at Position) Frame {
	return Frame{
		Kind: Snapshot, Term: at.Term, Sequence: at.Sequence, Newest: at.Sequence,
		Entries: s.entries(), Last: true, HasDigest: true, Digest: s.digest,
	}
}
