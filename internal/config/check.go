package config

import (
	"fmt"
	"math"
	"net"
)

// The lowest limits of the state service with which controllers can work.
const (
	minRate    = 1
	minValueKB = 1
	minTxnOps  = 2
)

// minSockets is the lowest number of sockets with which a controller can work.
const minSockets = 64

// check returns the first thing that is wrong, without its file and line; nil if nothing is.
func (s *Settings) check() *FieldError {
	var c checker
	c.node(s)
	c.endpoints(&s.Endpoints)
	if len(s.Params.Zones) == 0 {
		c.fail("settings.zones", "missing")
	}
	c.teams(s.Params.Teams)
	c.workers(&s.Params.Workers)
	c.state(&s.Params.State)
	c.positive("settings.cloud.rps", s.Params.Cloud.RPS)
	c.atLeast("settings.cloud.list_lag_s", float64(s.Params.Cloud.ListLag), 0)
	c.positive("settings.resources.memory_mb", s.Params.Resources.MemoryMB)
	c.atLeast("settings.resources.max_sockets", float64(s.Params.Resources.MaxSockets), minSockets)
	c.atLeast("settings.skew_ms", s.Params.SkewMS, 0)
	return c.err
}

// checker keeps the first thing that is wrong, so that checking needs no branch after each field.
type checker struct{ err *FieldError }

func (c *checker) node(s *Settings) {
	c.text("member", s.Member)
	c.text("zone", s.Zone)
	c.addr("client_listen", s.ClientListen)
	c.addr("peer_listen", s.PeerListen)
	seen := map[string]bool{s.Member: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d].", i)
		c.text(field+"member", peer.Member)
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
		c.text(field+"name", team.Name)
		c.unique(field+"name", team.Name, seen)
		c.atLeast(field+"cpus", team.GuaranteedCPUs, 0)
		c.atLeast(field+"cpus_max", team.CPULimit, 0)
		c.atLeast(field+"gpus", team.GuaranteedGPUs, 0)
		c.atLeast(field+"gpus_max", team.GPULimit, 0)
	}
}

func (c *checker) workers(workers *Workers) {
	c.positive("settings.workers.report_s", float64(workers.HeartbeatInterval))
	c.positive("settings.workers.lease_s", float64(workers.Lease))
	c.positive("settings.workers.gang_wait_s", float64(workers.GangWait))
	c.positive("settings.workers.gang_peer_s", float64(workers.GangPeer))
	c.positive("settings.workers.cancel_s", float64(workers.Cancel))
}

func (c *checker) state(state *State) {
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

func (c *checker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Problem: problem}
	}
}

func (c *checker) text(field, value string) {
	if value == "" {
		c.fail(field, "missing")
	}
}

// unique fails if a name was seen before.
func (c *checker) unique(field, name string, seen map[string]bool) {
	if seen[name] {
		c.fail(field, "named twice")
	}
	seen[name] = true
}

func (c *checker) addr(field, value string) {
	if value == "" {
		c.fail(field, "missing")
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.fail(field, "not of the form host:port")
	}
}

// positive fails unless a value is finite and above 0; the negated comparison also fails for NaN.
func (c *checker) positive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		c.fail(field, "missing or not above 0")
	}
}

// atLeast fails unless a value is finite and not below a bound; the negated comparison also fails for NaN.
func (c *checker) atLeast(field string, value, low float64) {
	if !(value >= low) || math.IsInf(value, 0) {
		c.fail(field, fmt.Sprintf("missing or below %g", low))
	}
}
