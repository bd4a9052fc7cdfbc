package decisionlog

import (
	"bufio"
	"io"
	"os"
)

// magic is the first bytes of each segment. A file that begins differently has another format; it
// counts as damaged from its first byte.
const magic = "GTDLOG1\n"

// replaySegment applies the records of a segment up to the first that can't be read, and truncates the
// file there.
func (r *Recovered) replaySegment(path string) error {
	intact, err := r.replayRecords(path)
	if err != nil {
		return err
	}
	return r.truncate(path, intact)
}

// replayRecords applies the records of a segment up to the first that can't be read. It returns the
// size of the intact part, which is the magic and these records; 0 if the magic is wrong.
func (r *Recovered) replayRecords(path string) (intact int64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	reader := bufio.NewReader(file)
	begin := make([]byte, len(magic))
	if _, err := io.ReadFull(reader, begin); err != nil || string(begin) != magic {
		return 0, nil
	}
	intact = int64(len(magic))
	for {
		frame, size, err := readRecord(reader)
		if err != nil {
			return intact, nil
		}
		r.Replica.Apply(frame)
		r.Records++
		intact += size
	}
}

// truncate truncates a segment to its intact part, and counts the bytes that are lost.
func (r *Recovered) truncate(path string, intact int64) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	torn := info.Size() - intact
	if torn <= 0 {
		return nil
	}
	r.TornBytes += torn
	return os.Truncate(path, intact)
}
