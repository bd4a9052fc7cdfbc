// Package config reads and validates the JSON settings file that the platform passes to a controller when
// it starts it (DEPLOY: The deploy file). Unknown fields are ignored, so that a newer platform can start
// an older controller. The package sets no defaults: a required setting that is missing is a *FieldError,
// which names the file and, where known, line and field. A missing number that may be 0 is read as 0.
//
// The command calls Load once, before anything else runs. After that the settings don't change and may
// be read from any goroutine.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Seconds is a duration in seconds, with fractions.
type Seconds float64

// Duration converts the number to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the content of the platform's settings file.
type Settings struct {
	Member       string     `json:"member"`
	Zone         string     `json:"zone"`
	ClientListen string     `json:"client_listen"`
	PeerListen   string     `json:"peer_listen"`
	Peers        []Peer     `json:"peers"`
	Endpoints    Endpoints  `json:"endpoints"`
	Deployment   Deployment `json:"settings"`
}

// TeamNames returns the names of all teams, in the order of the file.
func (s *Settings) TeamNames() []string {
	names := make([]string, 0, len(s.Deployment.Teams))
	for _, team := range s.Deployment.Teams {
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

// Deployment holds the parameters of the deployment, the same for all controllers.
type Deployment struct {
	Zones      []string      `json:"zones"`
	Teams      []Team        `json:"teams"`
	Objectives []Objective   `json:"objectives"`
	Workers    WorkerTimings `json:"workers"`
	State      StateLimits   `json:"state"`
	Cloud      CloudLimits   `json:"cloud"`
	Resources  Resources     `json:"resources"`
	SkewMS     float64       `json:"skew_ms"`
}

// Team holds a team's guaranteed capacity and its limit, in CPUs and GPUs; 0 means no guarantee or no
// limit.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	CPULimit       float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	GPULimit       float64 `json:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs. Objectives of unknown kinds are ignored.
type Objective struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within Seconds `json:"within_s"`
	Times  float64 `json:"times"`
}

// WorkerTimings holds the intervals and timeouts that workers use.
type WorkerTimings struct {
	HeartbeatInterval Seconds `json:"report_s"`
	Lease             Seconds `json:"lease_s"`
	GangWait          Seconds `json:"gang_wait_s"`
	GangPeer          Seconds `json:"gang_peer_s"`
	Cancel            Seconds `json:"cancel_s"`
}

// StateLimits holds the limits of the state service: requests and writes per second, the size of a value,
// and operations per transaction.
type StateLimits struct {
	RPS      float64         `json:"rps"`
	WriteRPS float64         `json:"write_rps"`
	ValueKB  float64         `json:"value_kb"`
	TxnOps   int             `json:"txn_ops"`
	Next     NextStateLimits `json:"next"`
}

// NextStateLimits holds the limits that the state service will have from an unspecified time on. A limit
// that is nil doesn't change.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lowest returns the lower one of each present limit and its next value. Controllers keep within both from
// their start, because the settings don't say when the next limits take effect.
func (s StateLimits) Lowest() StateLimits {
	return StateLimits{
		RPS:      lower(s.RPS, s.Next.RPS),
		WriteRPS: lower(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lower(s.ValueKB, s.Next.ValueKB),
		TxnOps:   lower(s.TxnOps, s.Next.TxnOps),
	}
}

// lower returns the lower of two limits; next may be nil.
func lower[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// CloudLimits holds the rate limit of the cloud's API, and how far its list of machines may lag behind.
type CloudLimits struct {
	RPS     float64 `json:"rps"`
	ListLag Seconds `json:"list_lag_s"`
}

// Resources holds the resources of the machine that the controller's process may use.
type Resources struct {
	CPUShare   float64 `json:"cpu_share"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Load reads and validates a settings file. If the file can be read, any error is a *FieldError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parse(path, text)
}

// parse decodes and validates the text of a settings file.
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

// decodeError converts an error of the JSON decoder, for malformed JSON or a value of the wrong type, to a
// FieldError with its line.
func decodeError(file string, text []byte, err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{
			File: file, Line: lineAt(text, wrongType.Offset), Field: wrongType.Field, Err: err,
			Problem: fmt.Sprintf("expected %s, found %s", wrongType.Type, wrongType.Value),
		}
	}
	fieldErr := &FieldError{File: file, Problem: fmt.Sprintf("not valid JSON: %v", err), Err: err}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		fieldErr.Line = lineAt(text, syntax.Offset)
	}
	return fieldErr
}
