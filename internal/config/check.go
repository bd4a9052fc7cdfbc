package config

import (
	"fmt"
	"math"
	"net"
)

// Lowest limits of the state service with which controllers can work.
const (
	minRate    = 1
	minValueKB = 1
	minTxnOps  = 2
)

// minSockets is the lowest socket limit with which a controller can work.
const minSockets = 64

// check returns the first problem found, without its file and line, or nil if the settings are valid.
func (s *Settings) check() *FieldError {
	var c checker
	c.node(s)
	c.endpoints(&s.Endpoints)
	if len(s.Deployment.Zones) == 0 {
		c.fail("settings.zones", "missing")
	}
	c.teams(s.Deployment.Teams)
	c.workers(&s.Deployment.Workers)
	c.state(&s.Deployment.State)
	c.positive("settings.cloud.rps", s.Deployment.Cloud.RPS)
	c.atLeast("settings.cloud.list_lag_s", float64(s.Deployment.Cloud.ListLag), 0)
	c.positive("settings.resources.memory_mb", s.Deployment.Resources.MemoryMB)
	c.atLeast("settings.resources.max_sockets", float64(s.Deployment.Resources.MaxSockets), minSockets)
	c.atLeast("settings.skew_ms", s.Deployment.SkewMS, 0)
	return c.err
}

// checker records the first problem and ignores later ones, so that callers can check field after
// field without testing for an error in between.
type checker struct{ err *FieldError }

// node checks the settings of the controller itself and its peers, whose names must be unique.
func (c *checker) node(s *Settings) {
	c.required("member", s.Member)
	c.required("zone", s.Zone)
	c.addr("client_listen", s.ClientListen)
	c.addr("peer_listen", s.PeerListen)
	seen := map[string]bool{s.Member: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d].", i)
		c.required(field+"member", peer.Member)
		c.addr(field+"addr", peer.Addr)
		c.unique(field+"member", peer.Member, seen)
	}
}

func (c *checker) endpoints(endpoints *Endpoints) {
	c.addr("endpoints.cloud", endpoints.Cloud)
	c.addr("endpoints.state", endpoints.State)
}

func (c *checker) teams(teams []Team) {
	if len(teams) == 0 {
		c.fail("settings.teams", "missing")
	}
	seen := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("settings.teams[%d].", i)
		c.required(field+"name", team.Name)
		c.unique(field+"name", team.Name, seen)
		c.atLeast(field+"cpus", team.GuaranteedCPUs, 0)
		c.atLeast(field+"cpus_max", team.CPULimit, 0)
		c.atLeast(field+"gpus", team.GuaranteedGPUs, 0)
		c.atLeast(field+"gpus_max", team.GPULimit, 0)
	}
}

func (c *checker) workers(workers *WorkerTimings) {
	c.positive("settings.workers.report_s", float64(workers.HeartbeatInterval))
	c.positive("settings.workers.lease_s", float64(workers.Lease))
	c.positive("settings.workers.gang_wait_s", float64(workers.GangWait))
	c.positive("settings.workers.gang_peer_s", float64(workers.GangPeer))
	c.positive("settings.workers.cancel_s", float64(workers.Cancel))
}

// state checks the present limits of the state service and those of the next ones that are set.
func (c *checker) state(state *StateLimits) {
	c.atLeast("settings.state.rps", state.RPS, minRate)
	c.atLeast("settings.state.write_rps", state.WriteRPS, minRate)
	c.atLeast("settings.state.value_kb", state.ValueKB, minValueKB)
	c.atLeast("settings.state.txn_ops", float64(state.TxnOps), minTxnOps)
	if next := state.Next.RPS; next != nil {
		c.atLeast("settings.state.next.rps", *next, minRate)
	}
	if next := state.Next.WriteRPS; next != nil {
		c.atLeast("settings.state.next.write_rps", *next, minRate)
	}
	if next := state.Next.ValueKB; next != nil {
		c.atLeast("settings.state.next.value_kb", *next, minValueKB)
	}
	if next := state.Next.TxnOps; next != nil {
		c.atLeast("settings.state.next.txn_ops", float64(*next), minTxnOps)
	}
}

// fail records a problem with a field, unless there is an earlier one.
func (c *checker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Problem: problem}
	}
}

// required fails if a value is empty.
func (c *checker) required(field, value string) {
	if value == "" {
		c.fail(field, "missing")
	}
}

// unique fails if a name is in seen, and adds it.
func (c *checker) unique(field, name string, seen map[string]bool) {
	if seen[name] {
		c.fail(field, "named twice")
	}
	seen[name] = true
}

// addr fails unless a value has the form host:port.
func (c *checker) addr(field, value string) {
	if value == "" {
		c.fail(field, "missing")
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.fail(field, "not of the form host:port")
	}
}

// positive fails unless a value is finite and above 0. The comparison is negated so that NaN fails too.
func (c *checker) positive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		c.fail(field, "missing or not above 0")
	}
}

// atLeast fails unless a value is finite and not below a lower bound. A missing field has the value 0, so
// it passes if the bound is 0. The comparison is negated so that NaN fails too.
func (c *checker) atLeast(field string, value, low float64) {
	if !(value >= low) || math.IsInf(value, 0) {
		c.fail(field, fmt.Sprintf("missing or below %g", low))
	}
}
