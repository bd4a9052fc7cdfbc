package decisionlog

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"gingertally/internal/codec"
	"gingertally/internal/standby"
)

// A record is a header, which holds the length and the checksum of the payload as little-endian
// numbers of four bytes each, and the payload, a storedFrame in CBOR.
const (
	headerBytes = 8
	// maxRecordBytes bounds a payload. A larger length is that of a damaged header.
	maxRecordBytes = 16 << 20
)

// checksumTable is that of the records' checksum, CRC-32C.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// errTorn says that a record is incomplete or damaged.
var errTorn = errors.New("torn record")

// storedFrame is the form of a frame on disk. Its names are tags of their own, so that standby.Frame
// can be renamed without a change of the form; the golden file of TestSegmentGolden holds it.
type storedFrame struct {
	Kind     standby.FrameKind `cbor:"Kind"`
	Term     uint64            `cbor:"Term"`
	Sequence uint64            `cbor:"Sequence"`
	Newest   uint64            `cbor:"Newest"`
	// TextEntries is null. The first version wrote entries here whose keys were text, by which
	// they couldn't be read again.
	TextEntries []codec.RawMessage `cbor:"Entries"`
	Part        int                `cbor:"Part"`
	Last        bool               `cbor:"Last"`
	HasDigest   bool               `cbor:"HasDigest"`
	Digest      uint64             `cbor:"Digest"`
	Successor   string             `cbor:"Successor"`
	Entries     []storedEntry      `cbor:"Stored"`
}

// storedEntry is the form of an entry on disk. Its key is bytes, since it isn't valid text.
type storedEntry struct {
	_     struct{} `cbor:",toarray"`
	Key   []byte
	Value []byte
}

// encodeRecord returns the record of a frame.
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

// readRecord reads the next record, and returns its frame and how many bytes it takes. The error is
// errTorn if the record is incomplete or damaged, and at the end of the segment.
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

// frame returns the frame that was stored.
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
