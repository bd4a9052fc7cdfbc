// Package limits divides the platform's limits: the rate limits of the state service and of the
// cloud among the controllers and their uses, and the sockets of a controller among its
// connections. No other package divides them. TestPartsOfTheRates checks that the shares add up to
// at most the whole.
//
// A Limits value never changes; it may be used from any goroutine.
package limits

import (
	"time"

	"gingertally/internal/config"
)

// Shares of the state service's rate limits. The leader's own reads and writes may use leaderShare
// of them, and users' calls at all controllers together userShare. The lookups of refused jobs get
// knownJobsShare of what users' calls have, in addition. The rest is left to requests that mustn't
// wait, such as lease renewals.
const (
	leaderShare    = 0.55
	userShare      = 0.35
	knownJobsShare = 0.25
	// policyWritesShare is the share of all writes that admission policies may use. It is a part of
	// the leader's share.
	policyWritesShare = 0.05
	// userOvercommit is how many times its even share of the users' requests a controller may use,
	// since users are rarely spread evenly over the controllers.
	userOvercommit = 2
)

// cloudShare is the share of the cloud's rate limit that is used. Only the leader sends requests to
// the cloud, except those for the machine types, which every controller sends.
const cloudShare = 0.85

// A user submits the jobs of a pipeline one after another, mostly at one controller. A burst of a
// controller's users' writes may therefore be as large as their share of burstSeconds seconds, but
// at most burstShare of the writes that the state service allows in a second.
const (
	burstSeconds = 4.0
	burstShare   = 0.3
)

// minUserWrites is how many writes a second a controller's users have at least, unless that is more
// than half of the state service's rate limit for all controllers together.
const minUserWrites = 1.5

// minBatch is how many changes a batch may have however low the rate limit is.
const minBatch = 4

// minPolicyInterval is the minimum time between two admission policies.
const minPolicyInterval = time.Second

// notCancelledDivisor is what the time within which a cancellation has to take effect is divided by;
// the result is how long an observation that a job wasn't cancelled may be relied on. Users may be
// told that a waiting job is queued for the whole of that time after a cancellation.
const notCancelledDivisor = 4

// bytesPerKB converts the size limit of values, which the settings give in KB.
const bytesPerKB = 1000

// Minimum and maximum of a controller's connections to the state service. Between them there is one
// connection per socketsPerStoreConn sockets.
const (
	minStoreConns       = 8
	maxStoreConns       = 64
	socketsPerStoreConn = 20
)

// otherConns is how many sockets are reserved for other uses: watches, the cloud, listeners, and
// connections that are being closed.
const otherConns = 40

// minClientConns is how many connections of clients a controller accepts however few sockets it has.
const minClientConns = 64

// MaxDirectCommands limits the requests with direct commands to workers that are in flight. Commands
// beyond it aren't sent directly; they are repeated with the worker's next heartbeat anyway.
const MaxDirectCommands = 32

// Limits computes the shares of one controller.
type Limits struct {
	state       config.StateLimits
	cloud       config.CloudLimits
	sockets     int
	controllers int
}

// New returns the limits of one controller, any of those that the settings name. If the settings
// announce lower limits of the state service, the lower ones apply from the start.
func New(settings *config.Settings) Limits {
	return Limits{
		state:       settings.Deployment.State.Lowest(),
		cloud:       settings.Deployment.Cloud,
		sockets:     settings.Deployment.Resources.MaxSockets,
		controllers: len(settings.Peers) + 1,
	}
}

// Rate holds how many requests and how many writes a second a client of the state service may send.
type Rate struct{ Requests, Writes float64 }

// Total returns the whole rate limit of the state service. It is for requests that mustn't wait
// because a share is used up, such as claims of leadership.
func (l Limits) Total() Rate { return Rate{l.state.RPS, l.state.WriteRPS} }

// Leader returns the rate of the leader's own reads and writes.
func (l Limits) Leader() Rate { return Rate{l.state.RPS * leaderShare, l.state.WriteRPS * leaderShare} }

// Users returns the rate of users' calls at one controller, and how many writes may come in a burst.
func (l Limits) Users() (rate Rate, burst int) {
	writes, burst := userWrites(l.state.WriteRPS, float64(l.controllers))
	return Rate{l.state.RPS * userShare * userOvercommit / float64(l.controllers), writes}, burst
}

// KnownJobLookups returns the rate at which one controller may look up whether a job that it refuses
// had been accepted before.
func (l Limits) KnownJobLookups() Rate {
	return Rate{l.state.RPS * userShare * knownJobsShare / float64(l.controllers), 1}
}

// Submissions returns how many jobs a second all users together may submit.
func (l Limits) Submissions() float64 { return l.state.WriteRPS * userShare }

// userWrites returns how many writes a second the users of one controller may cause, and how many
// in a burst. Rate is the state service's limit of writes a second.
func userWrites(rate, controllers float64) (each float64, burst int) {
	each = max(min(minUserWrites, rate/2/controllers), rate*userShare/controllers)
	return each, int(min(each*burstSeconds, rate*burstShare))
}

// PolicyInterval returns the time between two admission policies.
func (l Limits) PolicyInterval() time.Duration {
	return max(minPolicyInterval, time.Duration(float64(time.Second)/(l.state.WriteRPS*policyWritesShare)))
}

// MaxBatch returns how many changes the leader may write in one transaction: at most what a
// transaction may have, and at most the leader's share of a second's writes, or minBatch if that is
// more.
func (l Limits) MaxBatch() int {
	return min(l.state.TxnOps, max(minBatch, int(l.state.WriteRPS*leaderShare)))
}

// MaxValueBytes returns the maximum size of a value in the state service.
func (l Limits) MaxValueBytes() int { return int(l.state.ValueKB * bytesPerKB) }

// TxnOps returns how many changes a transaction may have.
func (l Limits) TxnOps() int { return l.state.TxnOps }

// NotCancelledFor returns how long an observation that a job wasn't cancelled may be relied on, if a
// cancellation has to take effect within cancelWithin.
func NotCancelledFor(cancelWithin time.Duration) time.Duration {
	return cancelWithin / notCancelledDivisor
}

// Cloud returns how many requests a second may be sent to the cloud.
func (l Limits) Cloud() float64 { return l.cloud.RPS * cloudShare }

// StoreConns returns how many connections a controller may open to the state service.
func (l Limits) StoreConns() int {
	return max(minStoreConns, min(maxStoreConns, l.sockets/socketsPerStoreConn))
}

// ClientConns returns how many connections of workers and users a controller serves at once: all
// that its sockets leave beside its own connections. A leader has a connection from every worker.
func (l Limits) ClientConns() int {
	own := l.StoreConns() + MaxDirectCommands + 2*(l.controllers-1) + otherConns
	return max(minClientConns, l.sockets-own)
}

// ReservedForWorkers reports whether so few of a controller's connections are left that they are
// reserved for workers. Users' connections are then closed once answered, so that users spread over
// the other controllers.
func ReservedForWorkers(open, limit int) bool { return open > limit*9/10 }

// AlmostFull reports whether so few connections are left that workers' connections are closed as
// well once answered. If there are more machines than a controller has sockets, all of them are
// thereby served in turn (TestMoreWorkersThanSockets).
func AlmostFull(open, limit int) bool { return open > limit*97/100 }
