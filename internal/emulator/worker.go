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

// Timings of a deployment that workers go by.
type Timings struct {
	Heartbeat, Lease time.Duration
	RunTime          time.Duration // of a task, give or take a half
}

// Worker is the worker of one machine. It sends its heartbeats to one controller at a time and carries out
// commands, as the protocol says (PROTOCOL: Workers -> controller nodes; Controller nodes -> workers). Its
// tasks are in worker_tasks.go.
type Worker struct {
	name, zone  string
	timings     Timings
	controllers []controllerAddr
	history     *History

	addr  string // for direct commands
	http  fasthttp.Client
	tasks sync.WaitGroup // goroutines of tasks

	mu           sync.Mutex
	target       int // which controller gets the heartbeats
	incarnation  uint64
	sequence     uint64
	fencingToken uint64
	answeredAt   time.Time // when the last heartbeat that was answered was sent
	onMachine    map[attemptID]*task
	changed      chan struct{} // has an element if a heartbeat is due on a change
	deleted      chan struct{} // closed when the machine no longer exists
	ended        chan struct{} // closed when Run ends
}

// controllerAddr is where a controller is called.
type controllerAddr struct{ name, addr string }

// newWorker makes the worker of a machine.
func newWorker(name, zone string, timings Timings, controllers []controllerAddr, history *History) *Worker {
	return &Worker{
		name: name, zone: zone, timings: timings, controllers: controllers, history: history,
		http:        fasthttp.Client{MaxConnsPerHost: 1, MaxIdemponentCallAttempts: 1},
		target:      rand.IntN(len(controllers)),
		incarnation: 1, answeredAt: time.Now(), onMachine: map[attemptID]*task{},
		changed: make(chan struct{}, 1), deleted: make(chan struct{}), ended: make(chan struct{}),
	}
}

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat.
	answerTimeout = 4 * time.Second
	// nextControllerPause is the pause before the next controller is tried.
	nextControllerPause = time.Second
	// changePause is the least time between two heartbeats.
	changePause = 500 * time.Millisecond
)

// run accepts direct commands and sends heartbeats until stop is closed or the machine is deleted. It
// returns when no goroutine of a task is left. The goroutines of the worker's server belong to servers.
func (w *Worker) run(stop <-chan struct{}, servers *sync.WaitGroup) error {
	var err error
	if w.addr, err = serve(w.handle, stop, servers); err != nil {
		return err
	}
	defer w.tasks.Wait()
	defer w.end()
	for {
		pause := w.sendHeartbeat()
		select {
		case <-stop:
			return nil
		case <-w.deleted:
			return nil
		case <-time.After(pause):
		case <-w.changed:
			time.Sleep(changePause)
		}
	}
}

// end has the goroutines of tasks end, and no more tasks start.
func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ended)
}

// delete ends the machine and all tasks on it.
func (w *Worker) delete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.deleted)
	w.loseTasks()
}

// isOver reports whether the worker carries out no more commands.
func (w *Worker) isOver() bool {
	select {
	case <-w.deleted:
		return true
	case <-w.ended:
		return true
	default:
		return false
	}
}

// noteChange has a heartbeat sent before its time.
func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default: // one is due already
	}
}

// sendHeartbeat sends a heartbeat and carries out the answer. It returns the pause before the next.
func (w *Worker) sendHeartbeat() time.Duration {
	w.expire()
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
				w.obeyAnswer(response.Body(), sent)
				return w.timings.Heartbeat*3/4 + rand.N(w.timings.Heartbeat/2)
			}
		case fasthttp.StatusMisdirectedRequest:
			if w.redirected(response.Body(), target.name) {
				return rand.N(changePause)
			}
		}
	}
	w.target = (w.target + 1) % len(w.controllers)
	return nextControllerPause
}

// redirected goes over to the controller that a redirect names; false if that is unknown or the same.
func (w *Worker) redirected(body []byte, from string) bool {
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

// expire begins a new incarnation if the worker's lease has expired: all its tasks are lost.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.answeredAt) <= w.timings.Lease {
		return
	}
	w.loseTasks()
	w.incarnation++
	w.answeredAt = time.Now()
}

// nextHeartbeat is the next heartbeat in its encoded form, whom it goes to, and its incarnation.
func (w *Worker) nextHeartbeat() (body []byte, target controllerAddr, incarnation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return codec.MustMarshal(wire.HeartbeatOf(w.heartbeat())), w.controllers[w.target], w.incarnation
}

// heartbeat is the heartbeat of this moment.
func (w *Worker) heartbeat() fleet.Heartbeat {
	w.sequence++
	heartbeat := fleet.Heartbeat{
		Machine: w.name, Addr: w.addr, Type: MachineType, Zone: w.zone, Incarnation: w.incarnation,
		Sequence: w.sequence, FencingToken: w.fencingToken, InterruptionIn: noInterruption,
	}
	for _, task := range w.onMachine {
		heartbeat.Tasks = append(heartbeat.Tasks, task.status())
	}
	return heartbeat
}

// noInterruption says that the cloud gave no interruption notice.
const noInterruption = -1

// obeyAnswer carries out the answer to a heartbeat that was sent at a time, unless its fencing token is lower
// than one that the worker has seen.
func (w *Worker) obeyAnswer(body []byte, sent time.Time) {
	var orders wire.Orders
	if codec.Unmarshal(body, &orders) != nil || orders.Gavel < w.fencingToken || w.isOver() {
		return
	}
	if orders.Gavel > w.fencingToken {
		w.noteChange()
	}
	w.fencingToken, w.answeredAt = orders.Gavel, sent
	w.history.answered(orders.Gavel, time.Now())
	w.obey(orders)
}

// handle serves direct commands and status requests.
func (w *Worker) handle(request *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := fasthttp.StatusOK
	if string(request.Path()) != wire.WorkerStatusPath {
		status = w.obeyDirect(request.PostBody())
	}
	reply(request, status, wire.HeartbeatOf(w.heartbeat()))
}

// obeyDirect carries out direct commands, unless their fencing token or incarnation doesn't fit, and returns
// the status of the answer.
func (w *Worker) obeyDirect(body []byte) (status int) {
	var orders wire.Orders
	switch {
	case codec.Unmarshal(body, &orders) != nil:
		return fasthttp.StatusBadRequest
	case orders.Gavel < w.fencingToken || orders.Shift != w.incarnation || w.isOver():
		return fasthttp.StatusConflict
	}
	w.fencingToken = orders.Gavel
	w.obey(orders)
	return fasthttp.StatusOK
}

// obey carries out commands in their order.
func (w *Worker) obey(orders wire.Orders) {
	commands, err := wire.CommandsOf(orders.Orders)
	if err != nil {
		w.history.fail("commands of term %d to %s: %v", orders.Gavel, w.name, err)
		return
	}
	for _, command := range commands {
		w.carryOut(command)
	}
}
