package emulator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Timings are the timings of a cluster's workers.
type Timings struct {
	Heartbeat, Lease time.Duration // mean heartbeat interval, and the worker's lease
	RunTime          time.Duration // mean run time of a task (half to one and a half times that)
}

// Worker emulates the worker of one machine. It sends heartbeats to one controller at a time and
// executes commands, as the protocol says (PROTOCOL: Workers -> controller nodes; Controller nodes ->
// workers). Its methods for tasks are in worker_tasks.go.
type Worker struct {
	name, zone  string
	timings     Timings
	controllers []controllerAddr
	history     *History

	addr      string // for direct commands and status requests
	http      fasthttp.Client
	taskGroup sync.WaitGroup // goroutines that wait for tasks to end

	mu           sync.Mutex
	target       int // index of the controller that gets the heartbeats
	incarnation  uint64
	sequence     uint64
	fencingToken uint64
	leaseRenewed time.Time           // when the lease was last renewed (send time of the heartbeat) or began
	attempts     map[attemptID]*task // running, or exited and not yet forgotten
	heartbeatDue chan struct{}       // holds an element if a change calls for an early heartbeat
	deleted      chan struct{}       // closed when the machine no longer exists
	ended        chan struct{}       // closed when the worker no longer sends heartbeats
}

// controllerAddr is a controller's name and address.
type controllerAddr struct{ name, addr string }

// newWorker returns the worker of a machine, which doesn't run yet.
func newWorker(name, zone string, timings Timings, controllers []controllerAddr, history *History) *Worker {
	return &Worker{
		name: name, zone: zone, timings: timings, controllers: controllers, history: history,
		http:        fasthttp.Client{MaxConnsPerHost: 1, MaxIdemponentCallAttempts: 1},
		target:      rand.IntN(len(controllers)),
		incarnation: 1, leaseRenewed: time.Now(), attempts: map[attemptID]*task{},
		heartbeatDue: make(chan struct{}, 1), deleted: make(chan struct{}), ended: make(chan struct{}),
	}
}

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat.
	answerTimeout = 4 * time.Second
	// nextControllerPause is the pause before the next controller is tried.
	nextControllerPause = time.Second
	// changePause is the delay of an early heartbeat, so that one heartbeat reports changes that follow
	// each other closely. It is also the longest pause before a redirect is followed.
	changePause = 500 * time.Millisecond
)

// run accepts direct commands and sends heartbeats until stop is closed or the machine is deleted, and
// then waits for the goroutines of its tasks. The goroutines of the worker's server are added to
// servers; the server runs until stop is closed.
func (w *Worker) run(stop <-chan struct{}, servers *sync.WaitGroup) error {
	var err error
	if w.addr, err = serve(w.handle, stop, servers); err != nil {
		return err
	}
	defer w.taskGroup.Wait()
	defer w.end()
	for {
		pause := w.sendHeartbeat()
		select {
		case <-stop:
			return nil
		case <-w.deleted:
			return nil
		case <-time.After(pause):
		case <-w.heartbeatDue:
			time.Sleep(changePause)
		}
	}
}

// end lets the goroutines of tasks end, and prevents the start of further tasks.
func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ended)
}

// delete ends the worker and all of its tasks, since its machine is being deleted.
func (w *Worker) delete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.deleted)
	w.dropTasks()
}

// isStopped reports whether the worker has ended or was deleted, and executes no more commands.
func (w *Worker) isStopped() bool {
	select {
	case <-w.deleted:
		return true
	case <-w.ended:
		return true
	default:
		return false
	}
}

// requestHeartbeat makes run send the next heartbeat early.
func (w *Worker) requestHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default: // it has been requested already
	}
}

// sendHeartbeat sends a heartbeat and executes the commands of the answer. It returns the pause before
// the next heartbeat. On a redirect, the next one goes to the controller that it names; without a
// usable answer, to the next controller of the list.
func (w *Worker) sendHeartbeat() time.Duration {
	w.checkLease()
	sent := time.Now()
	body, target, incarnation := w.nextHeartbeat()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + target.addr + wire.HeartbeatPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	err := w.http.DoTimeout(request, response, answerTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		switch response.StatusCode() {
		case fasthttp.StatusOK:
			if incarnation == w.incarnation {
				w.applyAnswer(response.Body(), sent)
				return w.timings.Heartbeat*3/4 + rand.N(w.timings.Heartbeat/2)
			}
		case fasthttp.StatusMisdirectedRequest:
			if w.followRedirect(response.Body(), target.name) {
				return rand.N(changePause)
			}
		}
	}
	w.target = (w.target + 1) % len(w.controllers)
	return nextControllerPause
}

// followRedirect makes the controller that a redirect names the target of heartbeats. It returns false
// if the redirect is malformed, or names an unknown controller or from, the one that sent it.
func (w *Worker) followRedirect(body []byte, from string) bool {
	var redirect wire.Redirect
	if codec.Unmarshal(body, &redirect) != nil || redirect.Clerk == from {
		return false
	}
	to := slices.IndexFunc(w.controllers, func(c controllerAddr) bool { return c.name == redirect.Clerk })
	if to < 0 {
		return false
	}
	w.target = to
	return true
}

// checkLease drops all tasks and begins a new incarnation if the worker's lease has expired.
func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.leaseRenewed) <= w.timings.Lease {
		return
	}
	w.dropTasks()
	w.incarnation++
	w.leaseRenewed = time.Now()
}

// nextHeartbeat returns the next heartbeat, encoded, the controller that it is for, and the incarnation
// that it reports.
func (w *Worker) nextHeartbeat() (body []byte, target controllerAddr, incarnation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return codec.MustMarshal(wire.HeartbeatOf(w.newHeartbeat())), w.controllers[w.target], w.incarnation
}

// newHeartbeat returns a heartbeat with the next sequence number and the current state of all attempts.
// The caller holds mu.
func (w *Worker) newHeartbeat() fleet.Heartbeat {
	w.sequence++
	heartbeat := fleet.Heartbeat{
		Machine: w.name, Addr: w.addr, Type: MachineType, Zone: w.zone, Incarnation: w.incarnation,
		Sequence: w.sequence, FencingToken: w.fencingToken, InterruptionIn: noInterruption,
	}
	for _, task := range w.attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, task.status())
	}
	return heartbeat
}

// noInterruption means that the cloud has given no interruption notice.
const noInterruption = -1

// applyAnswer renews the lease and executes the commands in the answer to a heartbeat that was sent at
// the time sent. It ignores the answer if its fencing token is lower than one that the worker has seen,
// or if the worker is stopped. The caller holds mu.
func (w *Worker) applyAnswer(body []byte, sent time.Time) {
	var orders wire.Orders
	if codec.Unmarshal(body, &orders) != nil || orders.Gavel < w.fencingToken || w.isStopped() {
		return
	}
	if orders.Gavel > w.fencingToken {
		w.requestHeartbeat()
	}
	w.fencingToken, w.leaseRenewed = orders.Gavel, sent
	w.history.answerAccepted(orders.Gavel, time.Now())
	w.executeAll(orders)
}

// handle serves direct commands and status requests.
func (w *Worker) handle(request *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := fasthttp.StatusOK
	if string(request.Path()) != wire.WorkerStatusPath {
		status = w.executeDirect(request.PostBody())
	}
	reply(request, status, wire.HeartbeatOf(w.newHeartbeat()))
}

// executeDirect executes direct commands and returns the status of the answer. It refuses them with 409
// if their fencing token is lower than one that the worker has seen, if they are for another
// incarnation, or if the worker is stopped. The caller holds mu.
func (w *Worker) executeDirect(body []byte) (status int) {
	var orders wire.Orders
	switch {
	case codec.Unmarshal(body, &orders) != nil:
		return fasthttp.StatusBadRequest
	case orders.Gavel < w.fencingToken || orders.Shift != w.incarnation || w.isStopped():
		return fasthttp.StatusConflict
	}
	w.fencingToken = orders.Gavel
	w.executeAll(orders)
	return fasthttp.StatusOK
}

// executeAll executes commands in order. If one is malformed, it executes none and records that as a
// broken rule. The caller holds mu.
func (w *Worker) executeAll(orders wire.Orders) {
	commands, err := wire.CommandsOf(orders.Orders)
	if err != nil {
		w.history.recordViolation("commands of term %d to %s: %v", orders.Gavel, w.name, err)
		return
	}
	for _, command := range commands {
		w.execute(command)
	}
}
