package operator

import (
	"os"
	"time"

	"gingertally/internal/operator/operatorpb"
)

// Standby holds the settings of the warm standby.
type Standby struct {
	Enabled bool
	// QueueBound is the number of changes that a leader keeps for followers that are behind.
	QueueBound int
	// SnapshotInterval is the shortest time between two snapshots to one follower.
	SnapshotInterval time.Duration
	// LogDirectory is the directory of the decision log; empty means that no log is kept.
	LogDirectory string
	// LogBytes limits the size of the decision log.
	LogBytes int64
}

// Bounds of the settings of the warm standby.
const (
	minQueueBound       = 64
	maxQueueBound       = 1_000_000
	minSnapshotInterval = 100 * time.Millisecond
	maxSnapshotInterval = time.Minute
	minLogBytes         = 1 << 20
	maxLogBytes         = 16 << 30
)

// standby validates the settings of the warm standby and sets those that the file has.
func (c *checker) standby(message *operatorpb.Standby, target *Standby) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	if message.QueueBound != nil {
		target.QueueBound = int(c.number("queue_bound", float64(message.GetQueueBound()), minQueueBound, maxQueueBound))
	}
	c.duration("snapshot_interval", message.SnapshotInterval, &target.SnapshotInterval,
		minSnapshotInterval, maxSnapshotInterval)
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
		c.fail("log_directory", "%q is not a directory", target.LogDirectory)
	}
}
