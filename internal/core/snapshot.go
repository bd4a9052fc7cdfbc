package core

import (
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// Snapshot holds what the store held when the term was claimed.
type Snapshot struct {
	Jobs   []StoredJob
	Pages  []StoredPage
	Images []StoredImages
	Drains drain.Stored // ignored if drains are off
	// Restored says that the state service was restored from an older copy: workers had seen higher
	// terms than the state service knew when the term was claimed.
	Restored bool
}

// StoredImages is a page of the image log.
type StoredImages struct {
	Name   string
	Record fleet.ImageRecord
}

// StoredJob is a job's record with its version, and the done ranges that are stored outside the
// record.
type StoredJob struct {
	Record  pipeline.Record
	Version uint64
	Chunks  map[int][]int
}

// StoredPage is a page of the start log with its version.
type StoredPage struct {
	Name    string
	Record  fleet.StartLogRecord
	Version uint64
}
