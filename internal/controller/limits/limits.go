// Package limits shares out what the platform allows: the rates of the state service and of the cloud
// among the controllers and their tasks, and a controller's sockets. It is the one place that divides
// them; TestPartsOfTheRates holds that the parts add up to at most the whole.
//
// A Limits is a value without state; it may be used from any goroutine.
package limits

import (
	"time"

	"gingertally/internal/config"
)

// Parts of the state service's rates. The leader's own writes and reads may use leaderPart of
// them, users' calls at all controllers together userPart, and the look-ups of refused jobs
// knownJobsPart of what users have. What is left is for what has to get through at once, such as lease
// renewals.
const (
	leaderPart    = 0.55
	userPart      = 0.35
	knownJobsPart = 0.25
	// policyWritesPart is the part of all writes that admission policies may take of the leader's.
	policyWritesPart = 0.05
	// userOvercommit is how many times its even share of the users' requests a controller may
	// use: users rarely come evenly to all.
	userOvercommit = 2
)

// cloudPart is the part of the cloud's rate that is used. Only the leader uses the cloud, but for the
// machine types.
const cloudPart = 0.85

// A user submits the jobs of a pipeline one after another, mostly at one controller: its
// writes may come in bursts of what it has left over for so many seconds, up to a
// part of what the state service takes at once.
const (
	burstSeconds = 4.0
	burstPart    = 0.3
)

// minUserWrites is how many writes a second a controller's users have at the least.
const minUserWrites = 1.5

// minBatch is how many changes a batch may have however low the rate is.
const minBatch = 4

// minPolicyInterval is the least time between two admission policies.
const minPolicyInterval = time.Second

// notCancelledParts: a job that waits may be called queued for the time within which a cancellation
// has to take effect; for one of so many parts of that time it counts that a job was seen not to be
// cancelled.
const notCancelledParts = 4

// bytesPerKB converts the settings' size of values.
const bytesPerKB = 1000

// Bounds of a controller's connections to the state service, and the part of the sockets that they may
// take.
const (
	minStoreConns       = 8
	maxStoreConns       = 64
	socketsPerStoreConn = 20
)

// otherConns is room for what a controller opens besides, or holds apart from its
// clients' connections: watches, the cloud, listeners, and some on their way out.
const otherConns = 40

// minClientConns is how many connections of clients a controller takes however few sockets
// it has.
const minClientConns = 64

// MaxDirectCommands bounds the direct commands to workers that are under way. One that can't go now
// is repeated with the worker's next heartbeat anyway.
const MaxDirectCommands = 32

// Limits are one controller's parts.
type Limits struct {
	state       config.State
	cloud       config.Cloud
	sockets     int
	controllers int
}

// Of returns the parts of one of the controllers that the settings name. Where the state service
// is about to lower its limits, the lower ones hold from the start.
func Of(settings *config.Settings) Limits {
	return Limits{
		state:       settings.Params.State.Lowest(),
		cloud:       settings.Params.Cloud,
		sockets:     settings.Params.Resources.MaxSockets,
		controllers: len(settings.Peers) + 1,
	}
}

// Rate is how many requests and writes a second a client of the state service may send.
type Rate struct{ Requests, Writes float64 }

// Whole is all that the state service takes: for what must wait for nobody's part, as claims.
func (l Limits) Whole() Rate { return Rate{l.state.RPS, l.state.WriteRPS} }

// Leader is what the leader's own reads and writes may use.
func (l Limits) Leader() Rate { return Rate{l.state.RPS * leaderPart, l.state.WriteRPS * leaderPart} }

// Users is what one controller's users' calls may use, and how many writes at once.
func (l Limits) Users() (rate Rate, burst int) {
	writes, burst := userWrites(l.state.WriteRPS, float64(l.controllers))
	return Rate{l.state.RPS * userPart * userOvercommit / float64(l.controllers), writes}, burst
}

// KnownJobs is what one controller may use to look whether a job that it refuses is known.
func (l Limits) KnownJobs() Rate {
	return Rate{l.state.RPS * userPart * knownJobsPart / float64(l.controllers), 1}
}

// Submissions is how many jobs a second all users together may submit.
func (l Limits) Submissions() float64 { return l.state.WriteRPS * userPart }

// userWrites is how many changes a second one controller's users may cause, and how many
// at once.
func userWrites(rate, controllers float64) (each float64, burst int) {
	each = max(min(minUserWrites, rate/2/controllers), rate*userPart/controllers)
	return each, int(min(each*burstSeconds, rate*burstPart))
}

// PolicyInterval is the time between two admission policies.
func (l Limits) PolicyInterval() time.Duration {
	return max(minPolicyInterval, time.Duration(float64(time.Second)/(l.state.WriteRPS*policyWritesPart)))
}

// MaxBatch is how many changes the leader writes at once: a transaction's
// limit, and no more than its part of a second's writes.
func (l Limits) MaxBatch() int {
	return min(l.state.TxnOps, max(minBatch, int(l.state.WriteRPS*leaderPart)))
}

// MaxValueBytes is how large a value of the state service may be.
func (l Limits) MaxValueBytes() int { return int(l.state.ValueKB * bytesPerKB) }

// TxnOps is how many changes a transaction may have.
func (l Limits) TxnOps() int { return l.state.TxnOps }

// NotCancelledFor is how long it counts that a job was seen not to be cancelled, where a cancellation
// has to take effect within a time.
func NotCancelledFor(cancelWithin time.Duration) time.Duration {
	return cancelWithin / notCancelledParts
}

// Cloud is how many requests a second the cloud may be sent.
func (l Limits) Cloud() float64 { return l.cloud.RPS * cloudPart }

// StoreConns is how many connections a controller opens to the state service at the most.
func (l Limits) StoreConns() int {
	return max(minStoreConns, min(maxStoreConns, l.sockets/socketsPerStoreConn))
}

// ClientConns is how many connections of workers and users a controller serves at once:
// all that its sockets allow beside its own. A leader has one of every worker.
func (l Limits) ClientConns() int {
	own := l.StoreConns() + MaxDirectCommands + 2*(l.controllers-1) + otherConns
	return max(minClientConns, l.sockets-own)
}

// Crowded tells whether what is left of a controller's connections is wanted by workers:
// users' are then closed once answered, and spread over the other controllers.
func Crowded(open, limit int) bool { return open > limit*9/10 }

// Full tells whether so few connections are left that workers' connections are closed as
// well once answered. Where there are more machines than a controller has sockets, all of them are
// then served in turn (TestMoreWorkersThanSockets).
func Full(open, limit int) bool { return open > limit*97/100 }
