// Package decisionlog keeps a controller's copy of the warm state on disk, where it has one:
// checksummed records in segments of bounded size. A controller that restarts goes on from
// it. What it holds is no more than a copy that may be old: a takeover trusts nothing in it
// that the state service doesn't confirm (docs/standby.md).
package decisionlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gingertally/internal/codec"
	"gingertally/internal/standby"
)

const (
	segmentPrefix = "decisions-"
	segmentSuffix = ".log"
	// magic begins each segment; another one is of another format, and ignored.
	magic = "GTDLOG1\n"
	// headerBytes are a record's length and checksum.
	headerBytes = 8
	// maxRecordBytes bounds a record; a larger length is that of a torn one.
	maxRecordBytes = 16 << 20
	// segments is how many segments share the log's size.
	segments = 2
	fileMode = 0o600
)

// checksums is the polynomial of the records' checksums.
var checksums = crc32.MakeTable(crc32.Castagnoli)

// errTorn says that a record isn't whole.
var errTorn = errors.New("torn record")

// File is what the log needs of an open segment.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log is the log of one controller. It isn't safe for concurrent use.
type Log struct {
	directory string
	maxBytes  int64
	create    func(path string) (File, error)
	file      File
	number    uint64 // of the segment that is written
	size      int64
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	Replica   *standby.Replica
	Records   int
	TornBytes int64 // cut off
}

// Open reads the log in a directory, cuts off a torn tail, and gets ready to write.
func Open(directory string, maxBytes int64) (*Log, Recovered, error) {
	l := &Log{directory: directory, maxBytes: maxBytes, create: createFile}
	recovered := Recovered{Replica: standby.NewReplica()}
	numbers, err := l.segmentNumbers()
	if err != nil {
		return nil, recovered, err
	}
	for _, number := range numbers {
		if err := l.replay(number, &recovered); err != nil {
			return nil, recovered, err
		}
		l.number = number
	}
	return l, recovered, nil
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

func (l *Log) path(number uint64) string {
	return filepath.Join(l.directory, fmt.Sprintf("%s%016d%s", segmentPrefix, number, segmentSuffix))
}

// segmentNumbers lists the segments that are there, oldest first.
func (l *Log) segmentNumbers() ([]uint64, error) {
	files, err := os.ReadDir(l.directory)
	if err != nil {
		return nil, fmt.Errorf("decision log: %w", err)
	}
	var numbers []uint64
	for _, file := range files {
		text, ok := strings.CutPrefix(file.Name(), segmentPrefix)
		if !ok {
			continue
		}
		if number, err := strconv.ParseUint(strings.TrimSuffix(text, segmentSuffix), 10, 64); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// replay takes the records of a segment in, up to the first that isn't whole.
func (l *Log) replay(number uint64, recovered *Recovered) error {
	path := l.path(number)
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("decision log: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	reader := bufio.NewReader(file)
	good := int64(0)
	begin := make([]byte, len(magic))
	if _, err := io.ReadFull(reader, begin); err == nil && string(begin) == magic {
		good = int64(len(magic))
		for {
			frame, size, err := readRecord(reader)
			if err != nil {
				break
			}
			recovered.Replica.Apply(frame)
			recovered.Records++
			good += size
		}
	}
	return cutTail(path, good, recovered)
}

// cutTail removes what follows the last whole record of a segment.
func cutTail(path string, good int64, recovered *Recovered) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("decision log: %w", err)
	}
	if torn := info.Size() - good; torn > 0 {
		recovered.TornBytes += torn
		if err := os.Truncate(path, good); err != nil {
			return fmt.Errorf("decision log: %w", err)
		}
	}
	return nil
}

// readRecord reads one record, and tells how many bytes it takes.
func readRecord(reader io.Reader) (standby.Frame, int64, error) {
	var frame standby.Frame
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame, 0, errTorn
	}
	length, sum := binary.LittleEndian.Uint32(header[:4]), binary.LittleEndian.Uint32(header[4:])
	if length > maxRecordBytes {
		return frame, 0, errTorn
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil || crc32.Checksum(payload, checksums) != sum {
		return frame, 0, errTorn
	}
	var stored storedFrame
	if err := codec.Unmarshal(payload, &stored); err != nil {
		return frame, 0, errTorn
	}
	frame = stored.Frame
	for _, e := range stored.Stored {
		frame.Entries = append(frame.Entries, standby.Entry{Key: string(e.Key), Value: e.Value})
	}
	return frame, headerBytes + int64(length), nil
}

// storedFrame is a frame as it is written: its entries' keys are bytes, not text.
type storedFrame struct {
	standby.Frame
	Stored []storedEntry
}

type storedEntry struct {
	_     struct{} `cbor:",toarray"`
	Key   []byte
	Value []byte
}

// record is a frame as it is written.
func record(frame standby.Frame) []byte {
	stored := storedFrame{Frame: frame, Stored: make([]storedEntry, 0, len(frame.Entries))}
	for _, e := range frame.Entries {
		stored.Stored = append(stored.Stored, storedEntry{Key: []byte(e.Key), Value: e.Value})
	}
	stored.Entries = nil
	payload := codec.MustMarshal(stored)
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(payload, checksums))
	return append(out, payload...)
}

// Full tells whether the next frame needs a new segment, which begins with a snapshot.
func (l *Log) Full() bool { return l.file == nil || l.size >= l.maxBytes/segments }

// Append writes a frame.
func (l *Log) Append(frame standby.Frame) error {
	if l.file == nil {
		return errors.New("decision log: no segment is open")
	}
	return l.write(record(frame))
}

// Begin begins a segment with a snapshot, and then removes the earlier ones.
func (l *Log) Begin(snapshot standby.Frame) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			slog.Debug("close segment of the decision log", "error", err)
		}
		l.file = nil
	}
	earlier, err := l.segmentNumbers()
	if err != nil {
		return err
	}
	l.number++
	file, err := l.create(l.path(l.number))
	if err != nil {
		return fmt.Errorf("decision log: %w", err)
	}
	l.file, l.size = file, 0
	if err := l.write([]byte(magic)); err != nil {
		return err
	}
	if err := l.write(record(snapshot)); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("decision log: %w", err)
	}
	return l.remove(earlier)
}

// remove removes segments that a later one has made useless.
func (l *Log) remove(numbers []uint64) error {
	for _, number := range numbers {
		if number == l.number {
			continue
		}
		if err := os.Remove(l.path(number)); err != nil {
			return fmt.Errorf("decision log: %w", err)
		}
	}
	return nil
}

func (l *Log) write(data []byte) error {
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err != nil {
		return fmt.Errorf("decision log: %w", err)
	}
	return nil
}

// Close ends the writing.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
