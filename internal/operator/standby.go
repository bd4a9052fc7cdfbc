package operator

import (
	"os"
	"time"

	"gingertally/internal/operator/operatorpb"
)

// Standby are the settings of the warm standby.
type Standby struct {
	Enabled bool
	// QueueBound is the number of changes that a leader keeps for followers that are behind.
	QueueBound int
	// SnapshotInterval is the least time between two snapshots to one follower.
	SnapshotInterval time.Duration
	// LogDirectory is the directory of the decision log; empty means that there is none.
	LogDirectory string
	// LogBytes is the size that the decision log may have.
	LogBytes int64
}

// Bounds of the settings of the warm standby.
const (
	minQueueBound = 64
	maxQueueBound = 1_000_000
	minSnapshots  = 100 * time.Millisecond
	maxSnapshots  = time.Minute
	minLogBytes   = 1 << 20
	maxLogBytes   = 16 << 30
)

// standby checks the settings of the warm standby and sets those that the file has.
func (c *checker) standby(message *operatorpb.Standby, target *Standby) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	if message.QueueBound != nil {
		target.QueueBound = int(c.number("queue_bound", float64(message.GetQueueBound()), minQueueBound, maxQueueBound))
	}
	c.duration("snapshot_interval", message.SnapshotInterval, &target.SnapshotInterval, minSnapshots, maxSnapshots)
	if message.LogBytes != nil {
		target.LogBytes = int64(c.number("log_bytes", float64(message.GetLogBytes()), minLogBytes, maxLogBytes))
	}
	target.LogDirectory = message.GetLogDirectory()
	if target.LogDirectory == "" {
		return
	}
	if !target.Enabled {
		c.fail("log_directory", "needs enabled: true")
	}
	if info, err := os.Stat(target.LogDirectory); err != nil || !info.IsDir() {
		c.fail("log_directory", "%q is no directory", target.LogDirectory)
	}
}
