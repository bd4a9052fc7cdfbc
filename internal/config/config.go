// Package config reads and checks the settings that the platform hands over.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
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

// TeamNames are the names of all teams.
func (s *Settings) TeamNames() []string {
	names := make([]string, 0, len(s.Params.Teams))
	for _, team := range s.Params.Teams {
		names = append(names, team.Name)
	}
	return names
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
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    Workers     `json:"workers"`
	State      State       `json:"state"`
	Cloud      Cloud       `json:"cloud"`
	Resources  Resources   `json:"resources"`
	SkewMS     float64     `json:"skew_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	CPULimit       float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	GPULimit       float64 `json:"gpus_max"`
}

// Objective says what is expected of a class of jobs. Kinds not known here are ignored.
type Objective struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within Seconds `json:"within_s"`
	Times  float64 `json:"times"`
}

// Workers are the workers' timings.
type Workers struct {
	HeartbeatInterval Seconds `json:"report_s"`
	Lease             Seconds `json:"lease_s"`
	GangWait          Seconds `json:"gang_wait_s"`
	GangPeer          Seconds `json:"gang_peer_s"`
	Cancel            Seconds `json:"cancel_s"`
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
	return State{
		RPS:      lower(s.RPS, s.Next.RPS),
		WriteRPS: lower(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lower(s.ValueKB, s.Next.ValueKB),
		TxnOps:   lower(s.TxnOps, s.Next.TxnOps),
	}
}

// lower is the lower of two limits, of which the second may not be given.
func lower[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
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
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// Parse checks settings.
func Parse(text []byte) (*Settings, error) {
	var settings Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fmt.Errorf("settings: %s: expected %s, found %s", wrongType.Field, wrongType.Type, wrongType.Value)
		}
		return nil, fmt.Errorf("settings: not valid JSON: %w", err)
	}
	return &settings, settings.check()
}
