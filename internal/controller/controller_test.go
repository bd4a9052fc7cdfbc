package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"gingertally/internal/agentapi"
	"gingertally/internal/client"
	"gingertally/internal/codec"
	"gingertally/internal/config"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
	"gingertally/internal/wire"
)

// runningController is a running controller with the address that it serves.
type runningController struct {
	*Controller
	addr string // for users and workers
}

// startControllers starts controllers that share the external services.
func startControllers(t *testing.T, store *fakeStore, names ...string) []runningController {
	t.Helper()
	state, cloud := serveOn(t, store.handle), serveOn(t, handleCloud)
	clients, peers := map[string]net.Listener{}, map[string]net.Listener{}
	for _, name := range names {
		clients[name], peers[name] = listen(t), listen(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		if err := running.Wait(); !errors.Is(err, context.Canceled) {
			t.Errorf("a controller ended: %v", err)
		}
	})
	var controllers []runningController
	for _, name := range names {
		var others []config.Peer
		for _, other := range names {
			if other != name {
				others = append(others, config.Peer{Member: other, Zone: "a", Addr: peers[other].Addr().String()})
			}
		}
		c, err := New(testSettings(name, others, config.Endpoints{Cloud: cloud, State: state}), operator.Default())
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() error { return c.serveHTTP(ctx, clients[name]) })
		running.Go(func() error { return peer.Serve(ctx, peers[name], c.servePeer) })
		running.Go(func() error { return c.elector.Run(ctx) })
		running.Go(func() error { return c.machineTypes.Run(ctx) })
		running.Go(func() error { return c.probeConnectivity(ctx) })
		controllers = append(controllers, runningController{c, clients[name].Addr().String()})
	}
	return controllers
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func testSettings(name string, peers []config.Peer, endpoints config.Endpoints) *config.Settings {
	return &config.Settings{
		Member: name, Zone: "a", Peers: peers, Endpoints: endpoints,
		Deployment: config.Deployment{
			Zones: []string{"a"}, Teams: []config.Team{{Name: "t"}},
			Workers:   config.WorkerTimings{HeartbeatInterval: 1, Lease: 15, GangWait: 10, GangPeer: 2, Cancel: 30},
			State:     config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 4, TxnOps: 12},
			Cloud:     config.CloudLimits{RPS: 20, ListLag: 0.5},
			Resources: config.Resources{CPUShare: 1, MemoryMB: 200, MaxSockets: 800},
		},
	}
}

// eventually waits until a condition holds, and fails the test if it doesn't within 20 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within the time limit: %s", what)
}

// leaderFirst waits until all controllers agree on the leader and are healthy, and returns them
// with the leader first.
func leaderFirst(t *testing.T, controllers []runningController) []runningController {
	t.Helper()
	eventually(t, "all controllers agree on the leader", func() bool {
		for i, c := range controllers {
			if t := c.term.Load(); t != nil && t.HoldsLease() {
				controllers[0], controllers[i] = controllers[i], controllers[0]
			}
		}
		leader := controllers[0].settings.Member
		for _, c := range controllers {
			if c.elector.Leader() != leader || c.healthStatus() != 200 {
				return false
			}
		}
		return controllers[0].term.Load() != nil
	})
	return controllers
}

func jobJSON(ref string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"lot_kind":"c","owner":"t","shape":"sweep","urgency":"normal","lots":1,"vcpus":4,"cards":0,"mem_gb":8,
		"kit":"i","pull_gb":0.1,"one_zone":false,"apart":false,"loaners":false,"guess_s":10,"mark_s":0,"stash_s":0}`, ref)
}

// worker is the worker on the fake cloud's machine, and executes commands at once. If a controller
// doesn't serve it, it sends its next heartbeat to the next controller.
type worker struct {
	addrs        []string
	at           int // index of the address to which it sends heartbeats
	seq          uint64
	fencingToken uint64
	tasks        map[string]map[string]any // by name
	stops        int
}

func (w *worker) sendHeartbeat(t *testing.T) int {
	t.Helper()
	w.seq++
	lots := []any{}
	for _, lot := range w.tasks {
		lots = append(lots, lot)
	}
	body := codec.MustMarshal(map[string]any{"stall": machine, "endpoint": "127.0.0.1:1", "build": "c8", "yard": "a", "loaners": false,
		"shift": 1, "tick": w.seq, "gavel": w.fencingToken, "lots": lots})
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.addrs[w.at] + agentapi.HeartbeatPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		w.at = (w.at + 1) % len(w.addrs)
		return response.StatusCode()
	}
	var orders wire.Orders
	if err := codec.Unmarshal(response.Body(), &orders); err != nil {
		t.Fatal(err)
	}
	w.fencingToken = orders.Gavel
	for _, order := range orders.Orders {
		w.execute(order)
	}
	return fasthttp.StatusOK
}

func (w *worker) execute(order wire.Order) {
	switch order.Verb {
	case "start":
		w.tasks[order.Lot] = map[string]any{"lot": order.Lot, "try": order.Try, "status": "running"}
	case "halt":
		w.stops++
		w.tasks[order.Lot] = map[string]any{
			"lot":    order.Lot,
			"try":    order.Try,
			"status": "ended",
			"cause":  "stopped",
			"kept":   false,
		}
	case "clear":
		delete(w.tasks, order.Lot)
	}
}

func (w *worker) finish(lot string) {
	w.tasks[lot]["status"], w.tasks[lot]["cause"], w.tasks[lot]["kept"] = "ended", "done", true
}

// TestControllers runs two controllers against in-memory fakes of the external services. Jobs are
// submitted, run and cancelled through the controller that doesn't lead, a peer extends the lease
// only in an outage, and when the leader resigns another term begins. The test runs in real time,
// and is written to pass even if a busy machine makes the leader change in between. Since CI's
// result mustn't depend on how busy its machine is, the test runs only if realTimeVariable is set.
func TestControllers(t *testing.T) {
	if os.Getenv(realTimeVariable) == "" {
		t.Skip(realTimeVariable + " isn't set")
	}
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	nodes := leaderFirst(t, startControllers(t, store, "n-1", "n-2"))
	leader, follower := nodes[0], nodes[1]
	user := &client.Client{Addr: follower.addr}
	for _, ref := range []string{"j-1", "j-2"} {
		if jobStatus, err := user.Submit(t.Context(), jobJSON(ref)); err != nil || jobStatus.Status != wire.StatusQueued {
			t.Fatalf("submit %s: %+v, %v", ref, jobStatus, err)
		}
	}
	work := &worker{addrs: []string{leader.addr, follower.addr}, tasks: map[string]map[string]any{}}
	status := func(ref string) string {
		work.sendHeartbeat(t)
		jobStatus, err := user.Get(t.Context(), ref)
		if err != nil {
			t.Fatal(err)
		}
		return jobStatus.Status
	}
	eventually(t, "both jobs are running", func() bool {
		return status("j-1") == wire.StatusRunning && status("j-2") == wire.StatusRunning
	})
	eventually(t, "a heartbeat is redirected", func() bool {
		atLeader, atFollower := &worker{addrs: []string{leader.addr}}, &worker{addrs: []string{follower.addr}}
		return atFollower.sendHeartbeat(t) == fasthttp.StatusMisdirectedRequest ||
			atLeader.sendHeartbeat(t) == fasthttp.StatusMisdirectedRequest
	})
	work.finish("j-1/0")
	eventually(t, "the first job is done", func() bool { return status("j-1") == wire.StatusDone })
	if jobStatus, err := user.Cancel(t.Context(), "j-2"); err != nil || jobStatus.Status != wire.StatusCancelled {
		t.Fatalf("cancel: %+v, %v", jobStatus, err)
	}
	eventually(t, "the second job's task stops", func() bool {
		return status("j-2") == wire.StatusCancelled && work.stops > 0
	})
	eventually(t, "the status is complete", func() bool { work.sendHeartbeat(t); return showsDeployment(t, follower) })
	checkExtension(t, store, nodes)
	before := work.fencingToken
	eventually(t, "another term begins after the resignation", func() bool {
		for _, node := range nodes {
			if s := node.term.Load(); s != nil && s.Number() == before {
				s.HandOver("")
			}
		}
		work.sendHeartbeat(t)
		return work.fencingToken > before
	})
	if jobStatus, err := user.Get(t.Context(), "j-1"); err != nil || jobStatus.Status != wire.StatusDone {
		t.Errorf("after the change of leader: %+v, %v", jobStatus, err)
	}
}

// realTimeVariable is the environment variable that enables the tests that depend on the speed of
// the machine.
const realTimeVariable = "CONTROLLER_REAL_TIME"

// showsDeployment reports whether a node answers with the leader's status of the whole deployment.
// It also checks that the node serves metrics.
func showsDeployment(t *testing.T, node runningController) bool {
	t.Helper()
	code, body, err := fasthttp.Get(nil, "http://"+node.addr+operatorapi.StatusPath)
	var shown operatorapi.Status
	if err != nil || code != fasthttp.StatusOK || json.Unmarshal(body, &shown) != nil {
		t.Fatalf("status: %d, %v", code, err)
	}
	code, body, err = fasthttp.Get(nil, "http://"+node.addr+metricsPath)
	if err != nil || code != fasthttp.StatusOK || !bytes.Contains(body, []byte("gingertally_user_calls_total")) {
		t.Fatalf("metrics: %d, %v", code, err)
	}
	return shown.Leading != nil && shown.Node == shown.Leader && len(shown.Versions) == 2 &&
		shown.Versions[node.settings.Member] == Version
}

// checkExtension checks that a node that doesn't lead extends the lease during an outage of the
// state service, and refuses before and after it.
func checkExtension(t *testing.T, store *fakeStore, nodes []runningController) {
	t.Helper()
	extends := func() bool {
		return electionNode{nodes[0].Controller}.RequestExtension(t.Context(), nodes[1].settings.Member) ||
			electionNode{nodes[1].Controller}.RequestExtension(t.Context(), nodes[0].settings.Member)
	}
	if extends() {
		t.Error("the lease was extended although the state service serves all nodes")
	}
	store.setDown(true)
	eventually(t, "the lease is extended in an outage", extends)
	store.setDown(false)
	eventually(t, "the lease is not extended after the outage", func() bool { return !extends() })
}
