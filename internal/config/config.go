// Package config reads and checks the settings that the platform hands over.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"
)

// Seconds is a duration given as a number of seconds.
type Seconds float64

// Duration converts to the standard type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the platform's file. Unknown fields are ignored.
type Settings struct {
	Member       string    `json:"member"`
	Zone         string    `json:"zone"`
	ClientListen string    `json:"client_listen"`
	PeerListen   string    `json:"peer_listen"`
	Peers        []Peer    `json:"peers"`
	Endpoints    Endpoints `json:"endpoints"`
	Params       Params    `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Member string `json:"member"`
	Zone   string `json:"zone"`
	Addr   string `json:"addr"`
}

// Endpoints are the outside services.
type Endpoints struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params are the deployment's parameters.
type Params struct {
	Zones     []string  `json:"zones"`
	Teams     []Team    `json:"teams"`
	Aims      []Aim     `json:"objectives"`
	Workers   Workers   `json:"workers"`
	State     State     `json:"state"`
	Cloud     Cloud     `json:"cloud"`
	Resources Resources `json:"resources"`
	SkewMS    float64   `json:"skew_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Aim says what is expected of a class of jobs. Kinds not known here are ignored.
type Aim struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within Seconds `json:"within_s"`
	Times  float64 `json:"times"`
}

// Workers are the workers' timings.
type Workers struct {
	Report   Seconds `json:"report_s"`
	Lease    Seconds `json:"lease_s"`
	GangWait Seconds `json:"gang_wait_s"`
	GangPeer Seconds `json:"gang_peer_s"`
	Cancel   Seconds `json:"cancel_s"`
}

// State is what the state service bears.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	Next     Next    `json:"next"`
}

// Next is what the state service will bear from some moment on; what isn't named
// stays as it is.
type Next struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lowest is the lower of the present and the coming limits: both are kept from the
// start, since nobody says when the coming ones hold.
func (s State) Lowest() State {
	low := s
	low.Next = Next{}
	if n := s.Next.RPS; n != nil {
		low.RPS = min(s.RPS, *n)
	}
	if n := s.Next.WriteRPS; n != nil {
		low.WriteRPS = min(s.WriteRPS, *n)
	}
	if n := s.Next.ValueKB; n != nil {
		low.ValueKB = min(s.ValueKB, *n)
	}
	if n := s.Next.TxnOps; n != nil {
		low.TxnOps = min(s.TxnOps, *n)
	}
	return low
}

// Least limits of the state service with which the service can work.
const (
	leastRate    = 1
	leastValueKB = 1
	leastTxnOps  = 2
)

func (c *checker) state(s *State) {
	c.atLeast("settings.state.rps", s.RPS, leastRate)
	c.atLeast("settings.state.write_rps", s.WriteRPS, leastRate)
	c.atLeast("settings.state.value_kb", s.ValueKB, leastValueKB)
	c.atLeast("settings.state.txn_ops", float64(s.TxnOps), leastTxnOps)
	if n := s.Next.RPS; n != nil {
		c.atLeast("settings.state.next.rps", *n, leastRate)
	}
	if n := s.Next.WriteRPS; n != nil {
		c.atLeast("settings.state.next.write_rps", *n, leastRate)
	}
	if n := s.Next.ValueKB; n != nil {
		c.atLeast("settings.state.next.value_kb", *n, leastValueKB)
	}
	if n := s.Next.TxnOps; n != nil {
		c.atLeast("settings.state.next.txn_ops", float64(*n), leastTxnOps)
	}
}

// Cloud is what the cloud's interface bears, and how far its list lags.
type Cloud struct {
	RPS     float64 `json:"rps"`
	ListLag Seconds `json:"list_lag_s"`
}

// Resources are what this process may use.
type Resources struct {
	CPUShare   float64 `json:"cpu_share"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Load reads and checks a settings file. The error is one line and names the field.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse checks settings.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: %s: expected %s, found %s", te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("settings: not valid JSON: %w", err)
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	var c checker
	c.text("member", s.Member)
	c.text("zone", s.Zone)
	c.addr("client_listen", s.ClientListen)
	c.addr("peer_listen", s.PeerListen)
	seen := map[string]bool{s.Member: true}
	for i, p := range s.Peers {
		c.text(fmt.Sprintf("peers[%d].member", i), p.Member)
		c.addr(fmt.Sprintf("peers[%d].addr", i), p.Addr)
		if seen[p.Member] {
			c.fail(fmt.Sprintf("peers[%d].member", i), "named twice")
		}
		seen[p.Member] = true
	}
	c.addr("endpoints.cloud", s.Endpoints.Cloud)
	c.addr("endpoints.state", s.Endpoints.State)
	p := &s.Params
	if len(p.Zones) == 0 {
		c.fail("settings.zones", "missing")
	}
	if len(p.Teams) == 0 {
		c.fail("settings.teams", "missing")
	}
	teams := map[string]bool{}
	for i, t := range p.Teams {
		f := fmt.Sprintf("settings.teams[%d].", i)
		c.text(f+"name", t.Name)
		if teams[t.Name] {
			c.fail(f+"name", "named twice")
		}
		teams[t.Name] = true
		c.atLeast(f+"cpus", t.CPUs, 0)
		c.atLeast(f+"cpus_max", t.CPUsMax, 0)
		c.atLeast(f+"gpus", t.GPUs, 0)
		c.atLeast(f+"gpus_max", t.GPUsMax, 0)
	}
	c.positive("settings.workers.report_s", float64(p.Workers.Report))
	c.positive("settings.workers.lease_s", float64(p.Workers.Lease))
	c.positive("settings.workers.gang_wait_s", float64(p.Workers.GangWait))
	c.positive("settings.workers.gang_peer_s", float64(p.Workers.GangPeer))
	c.positive("settings.workers.cancel_s", float64(p.Workers.Cancel))
	c.state(&p.State)
	c.positive("settings.cloud.rps", p.Cloud.RPS)
	c.atLeast("settings.cloud.list_lag_s", float64(p.Cloud.ListLag), 0)
	c.positive("settings.resources.memory_mb", p.Resources.MemoryMB)
	c.atLeast("settings.resources.max_sockets", float64(p.Resources.MaxSockets), 64)
	c.atLeast("settings.skew_ms", p.SkewMS, 0)
	return c.err
}

// checker keeps the first thing that is wrong.
type checker struct{ err error }

func (c *checker) fail(field, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("settings: %s: %s", field, what)
	}
}

func (c *checker) text(field, v string) {
	if v == "" {
		c.fail(field, "missing")
	}
}

func (c *checker) addr(field, v string) {
	if v == "" {
		c.fail(field, "missing")
		return
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.fail(field, "not of the form host:port")
	}
}

func (c *checker) positive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.fail(field, "missing or not above 0")
	}
}

func (c *checker) atLeast(field string, v, low float64) {
	if !(v >= low) || math.IsInf(v, 0) {
		c.fail(field, fmt.Sprintf("missing or below %g", low))
	}
}
