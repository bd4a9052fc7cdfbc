package decisionlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gingertally/internal/standby"
)

// testBytes is the maximum size of the logs in tests.
const testBytes = 40_000

// writer is a leader that writes its changes to a log.
type writer struct {
	t         *testing.T
	rng       *rand.Rand
	publisher *standby.Publisher
	log       *Log
	now       time.Time
}

// newWriter opens the log in a directory, and returns a new leader that writes to it, and what was
// read from it.
func newWriter(t *testing.T, directory string, seed uint64) (*writer, Recovered) {
	t.Helper()
	log, recovered, err := Open(directory, testBytes)
	if err != nil {
		t.Fatal(err)
	}
	w := &writer{t: t, rng: rand.New(rand.NewPCG(seed, 5)), log: log, now: time.Unix(5000, 0),
		publisher: standby.NewPublisher(7, standby.Options{QueueBound: 500, SnapshotInterval: time.Second, Heartbeat: time.Hour})}
	w.publisher.AddFollower("log", standby.Position{})
	return w, recovered
}

// change makes n random changes and writes them to the log. It returns the first error.
func (w *writer) change(n int) error {
	for range n {
		// The key isn't valid UTF-8: the first version couldn't read a log with such keys.
		e := standby.Entry{Key: fmt.Sprint("\xff\x80", w.rng.IntN(40))}
		if w.rng.IntN(5) > 0 {
			e.Value = fmt.Appendf(nil, "%0100d", w.rng.IntN(1000))
		}
		w.publisher.Publish([]standby.Entry{e})
		for f, ok := w.publisher.Next(w.now, "log"); ok; f, ok = w.publisher.Next(w.now, "log") {
			if f.Kind == standby.Heartbeat {
				continue
			}
			var err error
			if w.log.Full() {
				err = w.log.Begin(w.publisher.Snapshot())
			} else {
				err = w.log.Append(f)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// directorySize returns the total size of the files in a directory, and their paths.
func directorySize(t *testing.T, directory string) (bytes int64, files []string) {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		bytes += info.Size()
		files = append(files, filepath.Join(directory, e.Name()))
	}
	return bytes, files
}

// A log that is opened again holds the leader's last state, however many segments were begun, and
// never exceeds its maximum size. Otherwise a restarted controller would have no copy, or the disk
// would fill up.
func TestLogIsReadAgain(t *testing.T) {
	for seed := range uint64(10) {
		directory := t.TempDir()
		w, _ := newWriter(t, directory, seed)
		if err := w.change(1200); err != nil {
			t.Fatal(err)
		}
		if bytes, files := directorySize(t, directory); bytes > testBytes || len(files) > maxSegments {
			t.Fatalf("%d bytes in %d files", bytes, len(files))
		}
		if w.log.number < 3 {
			t.Fatalf("only %d segments were begun", w.log.number)
		}
		if err := w.log.Close(); err != nil {
			t.Fatal(err)
		}
		_, recovered := newWriter(t, directory, seed)
		if at := recovered.Replica.Position(); at.Term != 7 || at.Sequence != w.publisher.Newest() || recovered.TornBytes != 0 {
			t.Fatalf("seed %d: position %+v, want sequence %d, %d bytes torn", seed, at, w.publisher.Newest(), recovered.TornBytes)
		}
		if got, want := recovered.Replica.Entries(), w.publisher.Snapshot().Entries; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: read %d entries, the leader has %d", seed, len(got), len(want))
		}
	}
}

// A log that ends in the middle of a record, or in which a bit is flipped, is read up to that record
// and truncated there, after which it can be written and read again. A damaged record must neither be
// applied nor prevent the controller from starting.
func TestTornTail(t *testing.T) {
	for seed := range uint64(60) {
		directory := t.TempDir()
		w, _ := newWriter(t, directory, seed)
		if err := w.change(60); err != nil {
			t.Fatal(err)
		}
		if err := w.log.Close(); err != nil {
			t.Fatal(err)
		}
		_, files := directorySize(t, directory)
		last := files[len(files)-1]
		content, err := os.ReadFile(last)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 6))
		at := len(magic) + rng.IntN(len(content)-len(magic))
		if seed%2 == 0 {
			content = content[:at]
		} else {
			content[at] ^= 0x40
		}
		if err := os.WriteFile(last, content, fileMode); err != nil {
			t.Fatal(err)
		}
		again, recovered := newWriter(t, directory, seed+1000)
		if recovered.TornBytes == 0 && seed%2 == 1 {
			t.Fatalf("seed %d: a flipped bit at %d wasn't noticed", seed, at)
		}
		if p := recovered.Replica.Position(); p.Sequence > w.publisher.Newest() {
			t.Fatalf("seed %d: read up to %+v of %d", seed, p, w.publisher.Newest())
		}
		if err := again.change(10); err != nil {
			t.Fatal(err)
		}
		if err := again.log.Close(); err != nil {
			t.Fatal(err)
		}
		if _, reread := newWriter(t, directory, 0); reread.TornBytes != 0 {
			t.Fatalf("seed %d: %d bytes still torn", seed, reread.TornBytes)
		}
	}
}

// failingFile is a file whose disk is full after a number of bytes.
type failingFile struct {
	File
	left int // bytes that can still be written
}

var errFull = errors.New("no space left on device")

// Write implements File.
func (f *failingFile) Write(data []byte) (int, error) {
	if len(data) > f.left {
		n, _ := f.File.Write(data[:f.left])
		f.left = 0
		return n, errFull
	}
	f.left -= len(data)
	return f.File.Write(data)
}

// A full disk is reported as an error, upon which the controller continues without the log. What was
// written before can be read after a restart.
func TestFullDisk(t *testing.T) {
	directory := t.TempDir()
	w, _ := newWriter(t, directory, 1)
	w.log.create = func(path string) (File, error) {
		file, err := createFile(path)
		return &failingFile{File: file, left: 5000}, err
	}
	if err := w.change(300); !errors.Is(err, errFull) {
		t.Fatalf("writing to a full disk: %v", err)
	}
	if err := w.log.Close(); err != nil {
		t.Fatal(err)
	}
	_, recovered := newWriter(t, directory, 2)
	if at := recovered.Replica.Position(); at.Sequence == 0 || at.Sequence > w.publisher.Newest() {
		t.Fatalf("read up to %+v", at)
	}
}

// Files that aren't segments of this format are ignored. A directory that doesn't exist is an error,
// since it is most likely a mistake in the settings.
func TestForeignFiles(t *testing.T) {
	directory := t.TempDir()
	for name, content := range map[string]string{
		segmentPrefix + "0000000000000004" + segmentSuffix: "another format",
		"notes.txt": "x",
	} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(content), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	w, recovered := newWriter(t, directory, 1)
	if recovered.Records != 0 || w.log.number != 4 {
		t.Fatalf("%+v, segment %d", recovered, w.log.number)
	}
	if _, _, err := Open(filepath.Join(directory, "none"), testBytes); err == nil {
		t.Fatal("no error for a directory that doesn't exist")
	}
}

// Append fails unless a segment has been begun. Otherwise a frame would be stored without the snapshot
// that it changes, and couldn't be replayed.
func TestAppendNeedsASegment(t *testing.T) {
	log, _, err := Open(t.TempDir(), testBytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(standby.Frame{}); !errors.Is(err, ErrNoSegment) || !log.Full() {
		t.Errorf("without a segment: %v, full %v", err, log.Full())
	}
	if err := log.Begin(standby.Frame{Kind: standby.Snapshot, Last: true}); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(standby.Frame{}); err != nil {
		t.Errorf("after a segment was begun: %v", err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(standby.Frame{}); !errors.Is(err, ErrNoSegment) {
		t.Errorf("after Close: %v", err)
	}
}
