// Package config reads and checks the settings that the platform hands over at a controller's start, a
// file in JSON (DEPLOY: The deploy file). Fields that aren't known here are ignored, so that a newer
// platform can start an older controller. Nothing is filled in: a setting that is needed and missing is
// an error, a *FieldError that names file, line and field.
//
// The command calls Load once, before anything else runs; afterwards the settings aren't changed and may be
// read from any goroutine.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Seconds is a duration as a number of seconds.
type Seconds float64

// Duration converts the number to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the content of the platform's file.
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

// Endpoints are the addresses of the services that controllers call.
type Endpoints struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params are the parameters of the deployment, the same for all controllers.
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

// Team is a team's guarantee and its limit, in CPUs and GPUs; 0 means that there is none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	CPULimit       float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	GPULimit       float64 `json:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs. Kinds that aren't known here are ignored.
type Objective struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within Seconds `json:"within_s"`
	Times  float64 `json:"times"`
}

// Workers are the timings that workers go by.
type Workers struct {
	HeartbeatInterval Seconds `json:"report_s"`
	Lease             Seconds `json:"lease_s"`
	GangWait          Seconds `json:"gang_wait_s"`
	GangPeer          Seconds `json:"gang_peer_s"`
	Cancel            Seconds `json:"cancel_s"`
}

// State is the load that the state service bears.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	Next     Next    `json:"next"`
}

// Next is the load that the state service will bear from some moment on. A limit that isn't named stays as it is.
type Next struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lowest is the lower of the present and the coming limits. Both are kept from the start, since nobody says from
// when the coming ones hold.
func (s State) Lowest() State {
	return State{
		RPS:      lower(s.RPS, s.Next.RPS),
		WriteRPS: lower(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lower(s.ValueKB, s.Next.ValueKB),
		TxnOps:   lower(s.TxnOps, s.Next.TxnOps),
	}
}

// lower is the lower of two limits, of which the second may be missing.
func lower[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// Cloud is the load that the cloud's interface bears, and how far its list of machines lags.
type Cloud struct {
	RPS     float64 `json:"rps"`
	ListLag Seconds `json:"list_lag_s"`
}

// Resources are the machine's resources that this process may use.
type Resources struct {
	CPUShare   float64 `json:"cpu_share"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Load reads and checks a file of settings. If the file can be read, the error is a *FieldError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parse(path, text)
}

// parse reads and checks the text of a file.
func parse(file string, text []byte) (*Settings, error) {
	var settings Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, decodeError(file, text, err)
	}
	if err := settings.check(); err != nil {
		err.File, err.Line = file, fieldLines(text)[err.Field]
		return nil, err
	}
	return &settings, nil
}

// decodeError says where a text isn't JSON, or a value isn't of its field's type.
func decodeError(file string, text []byte, err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{
			File: file, Line: lineAt(text, wrongType.Offset), Field: wrongType.Field, Err: err,
			Problem: fmt.Sprintf("expected %s, found %s", wrongType.Type, wrongType.Value),
		}
	}
	failed := &FieldError{File: file, Problem: fmt.Sprintf("not valid JSON: %v", err), Err: err}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		failed.Line = lineAt(text, syntax.Offset)
	}
	return failed
}
