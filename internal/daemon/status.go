package daemon

import (
	"context"
	"encoding/json"
	"time"

	"gingertally/internal/core"
)

// statusPath is for operators: JSON, from whichever node is asked.
const statusPath = "/statusz"

// Status is what an operator is shown. All teams and machines are the leader's
// share.
type Status struct {
	Node    string       `json:"node"`             // the node that tells
	Role    string       `json:"role"`             // its part in leadership
	Leader  string       `json:"leader,omitempty"` // as far as that node knows
	Serves  bool         `json:"serves_users"`
	Leading *core.Status `json:"leading,omitempty"` // what it knows as the entitled leader
}

// status tells of this node, and of the deployment if it leads.
func (d *Daemon) status(now time.Time) Status {
	s := Status{Node: d.cfg.Member, Role: d.lead.Role().String(), Leader: d.lead.Leader(), Serves: d.healthz() == 200}
	if r := d.reign.Load(); r != nil && r.entitled() {
		r.mu.Lock()
		st := r.eng.Status(now)
		r.mu.Unlock()
		s.Leading = &st
	}
	return s
}

// statusAnywhere is the leader's status if it can be had, else this node's.
func (d *Daemon) statusAnywhere(ctx context.Context) []byte {
	own := d.status(time.Now())
	if own.Leading == nil && own.Leader != "" && own.Leader != own.Node {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if code, body, err := d.peers.Relay(ctx, own.Leader, "GET", statusPath, nil); err == nil && code == 200 {
			return body
		}
	}
	return own.encode()
}

func (s Status) encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte("{}") // plain data; can't happen
	}
	return b
}
