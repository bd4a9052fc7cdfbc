package daemon

// This file shares the outside services' rates and the process's sockets out.

// Parts of the outside services' rates: the leader's writes may use leaderPart of
// them, users' calls at all nodes together userPart. What is left is for what
// has to get through at once, such as lease renewals.
const (
	leaderPart = 0.55
	userPart   = 0.35
	cloudPart  = 0.85 // only the leader uses the cloud, but for the machine types
)

// A user submits the jobs of a pipeline one after another, mostly at one node: its
// writes may come in bursts of what it has left over for so many seconds, up to a
// part of what the state service takes at once.
const (
	burstSeconds = 4.0
	burstPart    = 0.3
)

// minUserWrites is how many writes a second a node's users have at the least.
const minUserWrites = 1.5

// userWrites is how many changes a second one node's users may cause, and how many
// at once.
func userWrites(rate, nodes float64) (each float64, burst int) {
	each = max(min(minUserWrites, rate/2/nodes), rate*userPart/nodes)
	return each, int(min(each*burstSeconds, rate*burstPart))
}

// minBatch is how many changes a batch may have however low the rate is.
const minBatch = 4

// maxBatch is how many changes the leader writes at once: a transaction's
// limit, and no more than its part of a second's writes.
func (d *Daemon) maxBatch() int {
	state := d.settings.Params.State.Lowest()
	return min(state.TxnOps, max(minBatch, int(state.WriteRPS*leaderPart)))
}

// Bounds of storeConns, and the part of the sockets that they may take.
const (
	minStoreConns       = 8
	maxStoreConns       = 64
	socketsPerStoreConn = 20
)

// storeConns is how many connections a node opens to the state service at the most.
func storeConns(maxSockets int) int {
	return max(minStoreConns, min(maxStoreConns, maxSockets/socketsPerStoreConn))
}

// otherConns is room for what this node opens besides, or holds apart from its
// clients' connections: watches, the cloud, listeners, and some on their way out.
const otherConns = 40

// minClientConns is how many connections of clients a node takes however few sockets
// it has.
const minClientConns = 64

// clientConns is how many connections of workers and users a node serves at once:
// all that its sockets allow beside its own. A leader has one of every worker.
func (d *Daemon) clientConns() int {
	sockets := d.settings.Params.Resources.MaxSockets
	own := storeConns(sockets) + maxDirectCommands + 2*len(d.settings.Peers) + otherConns
	return max(minClientConns, sockets-own)
}

// crowded tells whether what is left of a node's connections is wanted by workers:
// users' are then closed once answered, and spread over the other nodes.
func crowded(open, limit int) bool { return open > limit*9/10 }

// full tells whether so few connections are left that workers' connections are closed as
// well once answered. Where there are more machines than a node has sockets, all of them are
// then served in turn (TestMoreWorkersThanSockets).
func full(open, limit int) bool { return open > limit*97/100 }
