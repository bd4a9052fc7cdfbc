package operator

import (
	"gingertally/internal/operator/operatorpb"
	"gingertally/internal/recovery"
)

// Bounds of the pace after a takeover, in starts per second.
const (
	minPace = 1
	maxPace = 100_000
)

// recovery validates the settings of the pace after a takeover and sets those that the file has.
func (c *checker) recovery(message *operatorpb.Recovery, target *recovery.PaceOptions) {
	if message == nil {
		return
	}
	target.Enabled = message.GetPaced()
	if message.InitialPace != nil {
		target.Initial = c.number("initial_pace", message.GetInitialPace(), minPace, maxPace)
	}
	if message.HighestPace != nil {
		target.Highest = c.number("highest_pace", message.GetHighestPace(), minPace, maxPace)
	}
	if target.Initial >= target.Highest {
		c.fail("highest_pace", "must be more than initial_pace, %g, is %g", target.Initial, target.Highest)
	}
}
