package emulator

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Timings of a deployment that workers go by.
type Timings struct {
	Heartbeat, Lease time.Duration
	RunTime          time.Duration // of a task, give or take a half
}

// Worker is one machine's worker. It reports to one controller at a time and carries out
// what it is told, as the protocol says.
type Worker struct {
	Name, Zone  string
	Timings     Timings
	Controllers map[string]string // addresses by name
	History     *History

	names    []string // of the controllers
	endpoint string
	http     fasthttp.Client

	mu       sync.Mutex
	target   int // which controller it reports to
	session  uint64
	seq      uint64
	token    uint64
	answered time.Time // when the last answered report was sent
	lots     map[string]*lot
	changed  chan struct{}
	deleted  chan struct{} // closed when the machine is gone
}

// NewWorker makes the worker of a machine.
func NewWorker(name, zone string, timings Timings, history *History) *Worker {
	return &Worker{Name: name, Zone: zone, Timings: timings, History: history,
		lots: map[string]*lot{}, changed: make(chan struct{}, 1), deleted: make(chan struct{})}
}

// Delete ends the machine and all on it.
func (w *Worker) Delete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.deleted)
	for key := range w.lots {
		w.remove(key, false)
	}
}

// isDeleted tells whether the machine is gone.
func (w *Worker) isDeleted() bool {
	select {
	case <-w.deleted:
		return true
	default:
		return false
	}
}

// lot is a task on the machine.
type lot struct {
	name, job string
	attempt   uint64
	status    string
	cause     string
	kept      bool          // its progress was saved
	began     time.Time     // when it was started
	gone      chan struct{} // closed when it leaves the machine
}

// Words of the protocol.
const (
	lotRunning  = "running"
	lotEnded    = "ended"
	causeDone   = "done"
	causeHalted = "stopped"
	verbStart   = "start"
	verbHalt    = "halt"
	verbClear   = "clear"
)

const (
	// answerTimeout is how long a worker waits for an answer.
	answerTimeout = 4 * time.Second
	// nextNodePause is the pause before the next controller is tried.
	nextNodePause = time.Second
	// changePause is the least time between two heartbeats.
	changePause = 500 * time.Millisecond
)

// heartbeatTask is a task as a heartbeat has it.
type heartbeatTask struct {
	Lot    string `cbor:"lot"`
	Try    uint64 `cbor:"try"`
	Status string `cbor:"status"`
	Cause  string `cbor:"cause,omitempty"`
	Kept   bool   `cbor:"kept"`
}

// heartbeat is a worker's heartbeat.
type heartbeat struct {
	Stall    string          `cbor:"stall"`
	Endpoint string          `cbor:"endpoint"`
	Build    string          `cbor:"build"`
	Yard     string          `cbor:"yard"`
	Loaners  bool            `cbor:"loaners"`
	Shift    uint64          `cbor:"shift"`
	Tick     uint64          `cbor:"tick"`
	Gavel    uint64          `cbor:"gavel"`
	Lots     []heartbeatTask `cbor:"lots"`
}

// Run serves direct commands and reports until stop.
func (w *Worker) Run(names []string, stop <-chan struct{}) error {
	w.names, w.session, w.answered = names, 1, time.Now()
	w.target = rand.IntN(len(names))
	w.http.MaxConnsPerHost, w.http.MaxIdemponentCallAttempts = 1, 1
	var err error
	if w.endpoint, err = Serve(w.direct, stop); err != nil {
		return err
	}
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

// sendHeartbeat sends one report, and returns the pause before the next.
func (w *Worker) sendHeartbeat() time.Duration {
	w.expire()
	sent := time.Now()
	body, target, session := w.nextHeartbeat()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.Controllers[target] + "/agent/beat")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	err := w.http.DoTimeout(request, response, answerTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && response.StatusCode() == fasthttp.StatusOK && session == w.session:
		w.obeyAnswer(response.Body(), sent)
		return w.Timings.Heartbeat*3/4 + rand.N(w.Timings.Heartbeat/2)
	case err == nil && response.StatusCode() == fasthttp.StatusMisdirectedRequest && w.redirected(response.Body(), target):
		return rand.N(changePause)
	}
	w.target = (w.target + 1) % len(w.names)
	return nextNodePause
}

// redirected has the worker go to the controller that a redirect names, if that is another.
func (w *Worker) redirected(body []byte, from string) bool {
	var redirect wire.Redirect
	if codec.Unmarshal(body, &redirect) != nil || redirect.Clerk == from {
		return false
	}
	for i, name := range w.names {
		if name == redirect.Clerk {
			w.target = i
			return true
		}
	}
	return false
}

// expire ends the session if the worker's lease is over: all that it has is gone.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.answered) <= w.Timings.Lease {
		return
	}
	for key := range w.lots {
		w.remove(key, false)
	}
	w.session++
	w.answered = time.Now()
}

// nextHeartbeat is the next heartbeat, whom it goes to, and its incarnation.
func (w *Worker) nextHeartbeat() (body []byte, target string, session uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return codec.MustMarshal(w.heartbeatNow()), w.names[w.target], w.session
}

func (w *Worker) heartbeatNow() heartbeat {
	w.seq++
	r := heartbeat{Stall: w.Name, Endpoint: w.endpoint, Build: MachineType, Yard: w.Zone, Shift: w.session, Tick: w.seq, Gavel: w.token, Lots: []heartbeatTask{}}
	for _, l := range w.lots {
		r.Lots = append(r.Lots, heartbeatTask{Lot: l.name, Try: l.attempt, Status: l.status, Cause: l.cause, Kept: l.cause == causeDone || l.kept})
	}
	return r
}

// obeyAnswer carries out what an answer to a heartbeat says, unless its fencing token is too low.
func (w *Worker) obeyAnswer(body []byte, sent time.Time) {
	var orders wire.Orders
	if codec.Unmarshal(body, &orders) != nil || orders.Gavel < w.token || w.isDeleted() {
		return
	}
	if orders.Gavel > w.token {
		w.noteChange()
	}
	w.token, w.answered = orders.Gavel, sent
	w.History.answered(orders.Gavel, time.Now())
	w.obey(orders.Orders)
}

// direct serves direct commands.
func (w *Worker) direct(request *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var orders wire.Orders
	status := fasthttp.StatusConflict
	switch {
	case string(request.Path()) == "/status":
		status = fasthttp.StatusOK
	case codec.Unmarshal(request.PostBody(), &orders) != nil:
		status = fasthttp.StatusBadRequest
	case orders.Gavel >= w.token && orders.Shift == w.session && !w.isDeleted():
		status = fasthttp.StatusOK
		w.token = orders.Gavel
		w.obey(orders.Orders)
	}
	reply(request, status, w.heartbeatNow())
}

func (w *Worker) obey(orders []wire.Order) {
	for _, o := range orders {
		job, _, err := wire.ParseTaskName(o.Lot)
		if err != nil {
			continue
		}
		key := codec.MustMarshal([]any{o.Lot, o.Try})
		l := w.lots[string(key)]
		switch {
		case o.Verb == verbStart && l == nil:
			w.start(string(key), &lot{name: o.Lot, job: job, attempt: o.Try, status: lotRunning, gone: make(chan struct{})})
		case o.Verb == verbHalt && l != nil && l.status == lotRunning:
			l.kept = w.History.halted(l.job, l.name, w.Name, time.Since(l.began))
			w.end(l, causeHalted)
		case o.Verb == verbClear && l != nil && l.status == lotEnded:
			delete(w.lots, string(key))
		}
	}
}

// start starts a task; it runs for a while and is done.
func (w *Worker) start(key string, l *lot) {
	w.lots[key], l.began = l, time.Now()
	w.History.startOrdered(w.Name, l.job, l.name, l.attempt, w.token)
	w.noteChange()
	runs := w.History.runTime(l.job, l.name, w.Timings.RunTime/2+rand.N(w.Timings.RunTime))
	go func() {
		select {
		case <-l.gone:
		case <-time.After(runs):
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.lots[key] == l && l.status == lotRunning {
				w.end(l, causeDone)
			}
		}
	}()
}

func (w *Worker) end(l *lot, cause string) {
	l.status, l.cause = lotEnded, cause
	close(l.gone)
	w.History.left(l.job, l.name, cause == causeDone)
	w.noteChange()
}

// remove has a task vanish without a heartbeat.
func (w *Worker) remove(key string, done bool) {
	if l := w.lots[key]; l.status == lotRunning {
		close(l.gone)
		w.History.left(l.job, l.name, done)
	}
	delete(w.lots, key)
}

func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}
