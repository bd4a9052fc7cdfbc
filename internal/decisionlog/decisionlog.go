// Package decisionlog keeps a controller's copy of the warm state on disk, where it has one, so that
// the controller goes on from it after a restart.
//
// The log consists of segments, which are files of bounded size. A segment begins with a snapshot of
// the whole state, followed by the frames that change it, each in a record with a checksum. With each
// new segment the earlier ones are deleted. What can't be read, such as the end of a record that was
// being written during a crash, is cut off when the log is opened.
//
// What the log holds is a copy that may be old. Nothing in it is trusted that the state service
// doesn't confirm (docs/standby.md), so a log that is lost or damaged costs only time.
//
// A Log isn't safe for concurrent use. The daemon opens it while it starts and then writes it from
// one goroutine, so that a slow disk holds nothing else up; it must be the only process that uses the
// directory.
package decisionlog

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gingertally/internal/standby"
)

const (
	segmentPrefix = "decisions-"
	segmentSuffix = ".log"
	// segments is how many segments share the log's size: the one that is written, and the one
	// before until the next has its snapshot.
	segments = 2
	fileMode = 0o600
)

// ErrNoSegment says that no segment has been begun since the log was opened or the last one failed.
var ErrNoSegment = errors.New("no segment is open")

// File is what the log needs of a segment that is written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Log is the decision log of one controller.
type Log struct {
	directory string
	maxBytes  int64
	create    func(path string) (File, error)
	file      File   // the segment that is written; nil: none is
	number    uint64 // of the newest segment
	size      int64  // of the segment that is written
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	Replica   *standby.Replica // the copy, which may be incomplete
	Records   int              // records that were read
	TornBytes int64            // bytes that couldn't be read and were cut off
}

// Open reads the log in a directory and cuts off what can't be read. The first write has to begin a
// segment (Full, Begin).
func Open(directory string, maxBytes int64) (*Log, Recovered, error) {
	l := &Log{directory: directory, maxBytes: maxBytes, create: createFile}
	recovered := Recovered{Replica: standby.NewReplica()}
	numbers, err := l.segmentNumbers()
	if err != nil {
		return nil, recovered, err
	}
	for _, number := range numbers {
		if err := recovered.replaySegment(l.path(number)); err != nil {
			return nil, recovered, fmt.Errorf("decision log: replay segment %d: %w", number, err)
		}
		l.number = number
	}
	return l, recovered, nil
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// path returns the path of a segment. Names sort like numbers.
func (l *Log) path(number uint64) string {
	return filepath.Join(l.directory, fmt.Sprintf("%s%016d%s", segmentPrefix, number, segmentSuffix))
}

// segmentNumbers returns the numbers of the segments on disk, oldest first. Other files are ignored.
func (l *Log) segmentNumbers() ([]uint64, error) {
	files, err := os.ReadDir(l.directory)
	if err != nil {
		return nil, fmt.Errorf("decision log: list segments: %w", err)
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

// Full returns whether the next frame has to begin a segment.
func (l *Log) Full() bool { return l.file == nil || l.size >= l.maxBytes/segments }

// Append writes a frame to the present segment. The error is ErrNoSegment if there is none.
func (l *Log) Append(frame standby.Frame) error {
	if l.file == nil {
		return fmt.Errorf("decision log: append: %w", ErrNoSegment)
	}
	return l.write(encodeRecord(frame))
}

// Begin begins a segment with a snapshot of the whole state, and deletes the earlier segments once
// it is on disk.
func (l *Log) Begin(snapshot standby.Frame) error {
	if err := l.Close(); err != nil {
		slog.Debug("close segment of the decision log", "error", err) // the snapshot replaces it
	}
	earlier, err := l.segmentNumbers()
	if err != nil {
		return err
	}
	l.number++
	file, err := l.create(l.path(l.number))
	if err != nil {
		return fmt.Errorf("decision log: create segment: %w", err)
	}
	l.file, l.size = file, 0
	if err := l.write([]byte(magic)); err != nil {
		return err
	}
	if err := l.write(encodeRecord(snapshot)); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("decision log: sync segment %d: %w", l.number, err)
	}
	return l.deleteSegments(earlier)
}

// deleteSegments deletes segments other than the present one.
func (l *Log) deleteSegments(numbers []uint64) error {
	for _, number := range numbers {
		if number == l.number {
			continue
		}
		if err := os.Remove(l.path(number)); err != nil {
			return fmt.Errorf("decision log: delete segment: %w", err)
		}
	}
	return nil
}

// write writes to the present segment.
func (l *Log) write(data []byte) error {
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err != nil {
		return fmt.Errorf("decision log: write segment %d: %w", l.number, err)
	}
	return nil
}

// Close closes the present segment, if there is one.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
