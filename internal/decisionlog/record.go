package decisionlog

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"gingertally/internal/codec"
	"gingertally/internal/standby"
)

// A record consists of a header and a payload. The header holds the payload's length and checksum, each
// as a little-endian uint32; the payload is a storedFrame in CBOR.
const (
	headerBytes = 8
	// maxRecordBytes is the maximum length of a payload. A header with a larger length is damaged.
	maxRecordBytes = 16 << 20
)

// checksumTable is the CRC-32C table, with which records are checksummed.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// errTorn reports that there is no further record, or that it is incomplete or damaged.
var errTorn = errors.New("torn record")

// storedFrame is a frame as it is encoded on disk. Its tags fix the encoded names, so that fields of
// standby.Frame can be renamed without changing the format; TestSegmentGolden checks the format.
type storedFrame struct {
	Kind     standby.FrameKind `cbor:"Kind"`
	Term     uint64            `cbor:"Term"`
	Sequence uint64            `cbor:"Sequence"`
	Newest   uint64            `cbor:"Newest"`
	// TextEntries is always null. The first version of the format stored the entries here, with keys
	// as CBOR text, and couldn't read them back because the keys aren't valid UTF-8.
	TextEntries []codec.RawMessage `cbor:"Entries"`
	Part        int                `cbor:"Part"`
	Last        bool               `cbor:"Last"`
	HasDigest   bool               `cbor:"HasDigest"`
	Digest      uint64             `cbor:"Digest"`
	Successor   string             `cbor:"Successor"`
	Entries     []storedEntry      `cbor:"Stored"`
}

// storedEntry is an entry as it is encoded on disk. The key is a byte string, since it isn't valid
// UTF-8.
type storedEntry struct {
	_     struct{} `cbor:",toarray"`
	Key   []byte
	Value []byte
}

// encodeRecord returns a frame encoded as a record.
func encodeRecord(frame standby.Frame) []byte {
	stored := storedFrame{
		Kind: frame.Kind, Term: frame.Term, Sequence: frame.Sequence, Newest: frame.Newest,
		Part: frame.Part, Last: frame.Last, HasDigest: frame.HasDigest, Digest: frame.Digest,
		Successor: frame.Successor, Entries: make([]storedEntry, 0, len(frame.Entries)),
	}
	for _, e := range frame.Entries {
		stored.Entries = append(stored.Entries, storedEntry{Key: []byte(e.Key), Value: e.Value})
	}
	payload := codec.MustMarshal(stored)
	record := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(record[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(payload, checksumTable))
	return append(record, payload...)
}

// readRecord reads the next record, and returns its frame and the record's size in bytes. The error is
// errTorn if the record is incomplete, damaged or of the first version, and also at the end of the
// segment.
func readRecord(reader io.Reader) (frame standby.Frame, size int64, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return standby.Frame{}, 0, errTorn
	}
	length, sum := binary.LittleEndian.Uint32(header[:4]), binary.LittleEndian.Uint32(header[4:])
	if length > maxRecordBytes {
		return standby.Frame{}, 0, errTorn
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil || crc32.Checksum(payload, checksumTable) != sum {
		return standby.Frame{}, 0, errTorn
	}
	var stored storedFrame
	if err := codec.Unmarshal(payload, &stored); err != nil || len(stored.TextEntries) > 0 {
		return standby.Frame{}, 0, errTorn
	}
	return stored.frame(), headerBytes + int64(length), nil
}

// frame converts a decoded frame to a standby.Frame.
func (s *storedFrame) frame() standby.Frame {
	frame := standby.Frame{
		Kind: s.Kind, Term: s.Term, Sequence: s.Sequence, Newest: s.Newest,
		Part: s.Part, Last: s.Last, HasDigest: s.HasDigest, Digest: s.Digest, Successor: s.Successor,
	}
	for _, e := range s.Entries {
		frame.Entries = append(frame.Entries, standby.Entry{Key: string(e.Key), Value: e.Value})
	}
	return frame
}
