package daemon

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/core"
)

// Version of the program. Versions before 0.3.0 don't tell theirs.
const Version = "0.3.0"

// What is shown for controllers whose version isn't known.
const (
	olderVersion = "before 0.3.0"
	noAnswer     = "no answer"
)

// statusPath is for operators: JSON, from whichever node is asked.
const statusPath = "/statusz"

// Status is what an operator is shown. All teams and machines are the leader's
// share.
type Status struct {
	Node    string       `json:"node"`             // the node that tells
	Version string       `json:"version"`          // its version
	Role    string       `json:"role"`             // its part in leadership
	Leader  string       `json:"leader,omitempty"` // as far as that node knows
	Serves  bool         `json:"serves_users"`
	Leading *core.Status `json:"leading,omitempty"` // what it knows as the entitled leader
	// Versions of all controllers, as far as the node that was asked could find out.
	Versions map[string]string `json:"versions,omitempty"`
}

// status tells of this node, and of the deployment if it leads.
func (d *Daemon) status(now time.Time) Status {
	s := Status{Node: d.cfg.Member, Version: Version, Role: d.lead.Role().String(), Leader: d.lead.Leader(), Serves: d.healthz() == 200}
	if r := d.reign.Load(); r != nil && r.entitled() {
		r.mu.Lock()
		st := r.eng.Status(now)
		r.mu.Unlock()
		s.Leading = &st
	}
	return s
}

// statusAnywhere is the leader's status if it can be had, else this node's, with
// the versions of all controllers.
func (d *Daemon) statusAnywhere(ctx context.Context) []byte {
	own := d.status(time.Now())
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	names := d.peersFirst()
	told := make([]*Status, len(names))
	var g errgroup.Group
	for i, name := range names {
		g.Go(func() error {
			var s Status
			code, body, err := d.peers.Relay(ctx, name, "GET", statusPath, nil)
			if err != nil || code != 200 || json.Unmarshal(body, &s) != nil {
				return nil // shown as no answer
			}
			told[i] = &s
			return nil
		})
	}
	_ = g.Wait()
	shown := own
	versions := map[string]string{own.Node: own.Version}
	for i, s := range told {
		switch {
		case s == nil:
			versions[names[i]] = noAnswer
			continue
		case s.Version == "":
			versions[names[i]] = olderVersion
		default:
			versions[names[i]] = s.Version
		}
		if own.Leading == nil && s.Leading != nil {
			shown = *s
		}
	}
	shown.Versions = versions
	return shown.encode()
}

func (s Status) encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte("{}") // plain data; can't happen
	}
	return b
}
