// Package decisionlog stores a controller's copy of the warm state (package standby) in a log on disk,
// from which the controller restores the copy after a restart.
//
// The log consists of segments, one file each. A segment begins with a snapshot of the whole state,
// followed by the frames that change it; each frame is in a record with a checksum. Once a segment has
// its share of the log's size, a new one is begun and the earlier ones are deleted. When the log is
// opened, each segment is truncated at the first record that can't be read, such as one that was being
// written during a crash.
//
// The log may be out of date. Nothing in it is relied on unless the state service confirms it
// (docs/standby.md), so a lost or damaged log costs only time.
//
// A Log isn't safe for concurrent use. The daemon opens it during startup and then writes it from a
// single goroutine, so that a slow disk delays nothing else. Only one process may use the directory.
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
	// maxSegments is the number of segments that share the log's size: when a segment is begun, the
	// one before it is kept until the new one's snapshot is on disk.
	maxSegments = 2
	fileMode    = 0o600
)

// ErrNoSegment reports that there is no segment to append to: none has been begun since the log was
// opened or closed, or the last one couldn't be created.
var ErrNoSegment = errors.New("no segment is open")

// File is a segment that is open for writing; *os.File implements it.
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
	file      File   // the segment that is open for writing; nil if there is none
	number    uint64 // number of the newest segment
	size      int64  // bytes written to the open segment
}

// Recovered is what was read from a log when it was opened.
type Recovered struct {
	Replica   *standby.Replica // the copy, which may be incomplete
	Records   int              // number of records read
	TornBytes int64            // unreadable bytes that were truncated
}

// Open reads the log in a directory, which must exist, and truncates each segment at the first record
// that can't be read. The segments share maxBytes on disk (maxSegments). The first write has to be
// Begin, as Full reports.
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

// path returns the path of a segment. Numbers are zero-padded, so that names sort in the same order.
func (l *Log) path(number uint64) string {
	return filepath.Join(l.directory, fmt.Sprintf("%s%016d%s", segmentPrefix, number, segmentSuffix))
}

// segmentNumbers returns the numbers of the segments on disk, oldest first. It ignores other files.
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

// Full reports whether the next frame has to begin a new segment (Begin), because none is open or the
// open one has its share of the log's size.
func (l *Log) Full() bool { return l.file == nil || l.size >= l.maxBytes/maxSegments }

// Append writes a frame to the open segment. The error wraps ErrNoSegment if there is none.
func (l *Log) Append(frame standby.Frame) error {
	if l.file == nil {
		return fmt.Errorf("decision log: append: %w", ErrNoSegment)
	}
	return l.write(encodeRecord(frame))
}

// Begin begins a new segment with a snapshot of the whole state. Once the snapshot is on disk, it
// deletes the earlier segments.
func (l *Log) Begin(snapshot standby.Frame) error {
	if err := l.Close(); err != nil {
		slog.Debug("can't close a segment of the decision log", "error", err) // the snapshot replaces it
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

// deleteSegments deletes segments, but never the open one.
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

// write writes to the open segment and counts its size.
func (l *Log) write(data []byte) error {
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err != nil {
		return fmt.Errorf("decision log: write segment %d: %w", l.number, err)
	}
	return nil
}

// Close closes the open segment, if there is one.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	return err
}
