package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/core"
)

// Version of the program. Versions before 0.3.0 don't tell theirs.
const Version = "0.3.0"

// What is shown for controllers whose version isn't known.
const (
	olderVersion = "before 0.3.0"
	noAnswer     = "no answer"
)

// StatusPath is where operators ask any node for the status, in JSON.
const StatusPath = "/statusz"

// Status is what an operator is shown. All teams and machines are the leader's
// share.
type Status struct {
	Node      string           `json:"node"`             // the node that tells
	Version   string           `json:"version"`          // its version
	Role      string           `json:"role"`             // its part in leadership
	Leader    string           `json:"leader,omitempty"` // as far as that node knows
	Serves    bool             `json:"serves_users"`
	Leading   *core.Status     `json:"leading,omitempty"`   // what it knows as the leader, while its lease is valid
	Standby   *StandbyStatus   `json:"standby,omitempty"`   // this node's part in the warm standby
	Admission *AdmissionStatus `json:"admission,omitempty"` // what this node applies
	// Policies are the numbers of the admission policies that the controllers apply.
	Policies map[string]uint64 `json:"policies,omitempty"`
	// Standbys are those of all controllers that could be asked.
	Standbys map[string]*StandbyStatus `json:"standbys,omitempty"`
	// Versions of all controllers, as far as the node that was asked could find out.
	Versions map[string]string `json:"versions,omitempty"`
}

// statusTimeout bounds the wait for the other nodes' status.
const statusTimeout = time.Second

// status tells of this node, and of the deployment if it leads.
func (d *Daemon) status(now time.Time) Status {
	status := Status{
		Node: d.settings.Member, Version: Version, Role: d.elector.Role().String(), Leader: d.elector.Leader(),
		Serves: d.healthStatus() == http.StatusOK, Standby: d.warm.status(now), Admission: d.admission.status(now),
	}
	if s := d.session.Load(); s != nil && s.holdsLease() {
		s.mu.Lock()
		leading := s.engine.Status(now)
		s.mu.Unlock()
		status.Leading = &leading
	}
	return status
}

// statusAnywhere is the leader's status if it can be had, else this node's, with
// the versions of all controllers.
func (d *Daemon) statusAnywhere(ctx context.Context) []byte {
	own := d.status(time.Now())
	names := d.peersFirst()
	shown := own
	versions := map[string]string{own.Node: own.Version}
	standbys, policies := map[string]*StandbyStatus{}, map[string]uint64{}
	if own.Admission != nil {
		policies[own.Node] = own.Admission.Number
	}
	if own.Standby != nil {
		standbys[own.Node] = own.Standby
	}
	for i, status := range d.peersStatus(ctx, names) {
		switch {
		case status == nil:
			versions[names[i]] = noAnswer
			continue
		case status.Version == "":
			versions[names[i]] = olderVersion
		default:
			versions[names[i]] = status.Version
		}
		if status.Standby != nil {
			standbys[names[i]] = status.Standby
		}
		if status.Admission != nil {
			policies[names[i]] = status.Admission.Number
		}
		if own.Leading == nil && status.Leading != nil {
			shown = *status
		}
	}
	shown.Versions, shown.Standbys, shown.Policies = versions, standbys, policies
	return shown.encode()
}

// peersStatus asks the other nodes for their status, in the order of their names; nil
// stands for no answer.
func (d *Daemon) peersStatus(ctx context.Context, names []string) []*Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]*Status, len(names))
	var asking sync.WaitGroup
	for i, name := range names {
		asking.Go(func() {
			var status Status
			code, body, err := d.peers.Relay(ctx, name, http.MethodGet, StatusPath, nil)
			if err == nil && code == http.StatusOK && json.Unmarshal(body, &status) == nil {
				answers[i] = &status
			}
		})
	}
	asking.Wait()
	return answers
}

func (s Status) encode() []byte { return encodeJSON(s) }
