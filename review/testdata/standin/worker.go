package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// JobInfo is the part of a job's description that workers need; users upload it.
type JobInfo struct {
	Run   time.Duration
	CPUs  float64
	GPUs  float64
	MemGB float64
	Image string
	Fetch time.Duration
}

// attempt is a task on a machine.
type attempt struct {
	try     uint64
	status  string
	cause   string
	kept    bool
	stopped chan struct{}
}

// Worker is a stand-in for the worker of a machine (PROTOCOL: Workers -> controller nodes).
type Worker struct {
	d       *Deployment
	Name    string
	build   MachineType
	zone    string
	address string
	client  *http.Client

	mu       sync.Mutex
	shift    uint64
	tick     uint64
	gavel    uint64
	renewed  time.Time // when the last answered report was sent
	highAt   time.Time // when a higher token last counted as a change
	tasks    map[string]*attempt
	images   map[string]bool
	target   int
	due      chan struct{}
	gone     chan struct{}
	goneOnce sync.Once
	lastNode string
	mute     time.Time // until then reports don't arrive
}

func newWorker(d *Deployment, name string, build MachineType, zone string) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		d: d, Name: name, build: build, zone: zone, address: listener.Addr().String(), shift: 1,
		renewed: time.Now(), tasks: map[string]*attempt{}, images: map[string]bool{}, target: rand.IntN(len(d.Controllers)),
		due: make(chan struct{}, 1), gone: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	server := &http.Server{Handler: http.HandlerFunc(w.direct)}
	go func() { _ = server.Serve(listener) }()
	go func() {
		select {
		case <-w.gone:
		case <-d.stop:
		}
		_ = server.Close()
	}()
	go w.run()
	go func() { // the lease also ends while a report is under way
		for !w.ended() {
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			w.checkLease()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// Node returns the controller that last answered a report with 200, and the highest token.
func (w *Worker) Node() (name string, gavel uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastNode, w.gavel
}

// Mute lets the machine reach no controller for a time. Direct commands reach it.
func (w *Worker) Mute(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = time.Now().Add(d)
}

func (w *Worker) muted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.mute)
}

func (w *Worker) ended() bool {
	select {
	case <-w.gone:
		return true
	case <-w.d.stop:
		return true
	default:
		return false
	}
}

func (w *Worker) run() {
	last := time.Time{}
	for !w.ended() {
		pause := w.report()
		last = time.Now()
		select {
		case <-w.gone:
		case <-w.d.stop:
		case <-time.After(pause):
		case <-w.due:
			time.Sleep(time.Until(last.Add(500 * time.Millisecond)))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll("machine gone")
}

func (w *Worker) change() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// killAll kills and forgets all tasks. The caller holds mu.
func (w *Worker) killAll(why string) {
	for lot, a := range w.tasks {
		if a.status != wire.TaskExited {
			close(a.stopped)
			w.d.Record.Printf("worker %s: %s try %d killed: %s", w.Name, lot, a.try, why)
			w.d.taskEnded(lot, w.Name, false)
		}
		delete(w.tasks, lot)
	}
}

func (w *Worker) checkLease() {
	if time.Since(w.renewed) > w.d.Options.Lease {
		w.killAll("lease over")
		w.shift++
		w.renewed = time.Now()
	}
}

// message returns the worker's report. The caller holds mu.
func (w *Worker) message() wire.Heartbeat {
	w.tick++
	spot, shift, tick, gavel := false, w.shift, w.tick, w.gavel
	m := wire.Heartbeat{
		Stall: &w.Name, Endpoint: &w.address, Build: &w.build.Label, Yard: &w.zone, Loaners: &spot,
		Shift: &shift, Tick: &tick, Gavel: &gavel, Lots: []wire.HeartbeatTask{},
	}
	for lot, a := range w.tasks {
		name, try, status := lot, a.try, a.status
		t := wire.HeartbeatTask{Lot: &name, Try: &try, Status: &status}
		if a.status == wire.TaskExited {
			cause, kept := a.cause, a.kept
			t.Cause, t.Kept = &cause, &kept
		}
		m.Lots = append(m.Lots, t)
	}
	return m
}

func (w *Worker) report() time.Duration {
	w.mu.Lock()
	w.checkLease()
	sent, shift, body := time.Now(), w.shift, codec.MustMarshal(w.message())
	target := w.d.Controllers[w.target]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var status int
	var answerBody []byte
	if w.muted() {
		time.Sleep(4 * time.Second)
	} else {
		status, answerBody = post(ctx, w.client, "http://"+target.Client+wire.HeartbeatPath, body)
	}
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended() {
		return 0
	}
	w.checkLease()
	every := w.d.Options.Report
	switch status {
	case http.StatusOK:
		if shift == w.shift {
			w.accept(target.Name, answerBody, sent)
			return every*3/4 + rand.N(every/2)
		}
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if codec.Unmarshal(answerBody, &redirect) == nil && redirect.Clerk != target.Name {
			for i, c := range w.d.Controllers {
				if c.Name == redirect.Clerk {
					w.target = i
					w.client.CloseIdleConnections()
					return rand.N(500 * time.Millisecond)
				}
			}
		}
	}
	w.target = (w.target + 1) % len(w.d.Controllers)
	return time.Second
}

// accept executes the commands of an answer, unless its token is too low. The caller holds mu.
func (w *Worker) accept(node string, body []byte, sent time.Time) {
	var orders wire.Orders
	if codec.Unmarshal(body, &orders) != nil || orders.Gavel < w.gavel || orders.Gavel == 0 {
		w.d.Record.Printf("worker %s: dropped a 200 of %s with token %d, knows %d", w.Name, node, orders.Gavel, w.gavel)
		return
	}
	w.raise(orders.Gavel, node)
	w.renewed, w.lastNode = sent, node
	w.execute(orders)
}

func (w *Worker) raise(gavel uint64, node string) {
	if gavel <= w.gavel {
		return
	}
	w.d.Record.Printf("worker %s: token %d, from %s", w.Name, gavel, node)
	w.gavel = gavel
	if time.Since(w.highAt) > w.d.Options.Lease/2 {
		w.highAt = time.Now()
		w.change()
	}
}

func (w *Worker) direct(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	status := http.StatusOK
	if r.URL.Path == wire.OrdersPath {
		var orders wire.Orders
		switch {
		case codec.Unmarshal(body, &orders) != nil || orders.Gavel == 0 || orders.Shift == 0:
			status = http.StatusBadRequest
		case orders.Gavel < w.gavel || orders.Shift != w.shift:
			status = http.StatusConflict
		default:
			w.raise(orders.Gavel, "a direct command")
			w.execute(orders)
		}
	}
	answer(rw, status, w.message())
}

func (w *Worker) execute(orders wire.Orders) {
	for _, o := range orders.Orders {
		switch o.Verb {
		case wire.VerbStart:
			w.start(o.Lot, o.Try, orders.Gavel)
		case wire.VerbStop:
			leeway := 0.0
			if o.Leeway != nil {
				leeway = *o.Leeway
			}
			w.halt(o.Lot, o.Try, time.Duration(leeway*float64(time.Second)))
		case wire.VerbForget:
			if a := w.tasks[o.Lot]; a != nil && a.try == o.Try && a.status == wire.TaskExited {
				delete(w.tasks, o.Lot)
			}
		}
	}
}

// start starts a task. The caller holds mu.
func (w *Worker) start(lot string, try, gavel uint64) {
	if a := w.tasks[lot]; a != nil && a.try == try {
		return
	}
	w.d.Record.Printf("worker %s: start %s try %d, token %d", w.Name, lot, try, gavel)
	refuse := func(cause string) {
		if w.tasks[lot] == nil {
			w.tasks[lot] = &attempt{try: try, status: wire.TaskExited, cause: cause, stopped: make(chan struct{})}
		}
		w.change()
	}
	ref, _, _ := strings.Cut(lot, "/")
	info := w.d.jobInfo(ref)
	if info == nil {
		refuse(wire.CauseUnknownTask)
		return
	}
	if a := w.tasks[lot]; a != nil && a.status != wire.TaskExited {
		refuse(wire.CauseAlreadyPresent)
		return
	}
	cpus, gpus, mem := info.CPUs, info.GPUs, info.MemGB
	for other, a := range w.tasks {
		otherRef, _, _ := strings.Cut(other, "/")
		if o := w.d.jobInfo(otherRef); o != nil && a.status != wire.TaskExited {
			cpus, gpus, mem = cpus+o.CPUs, gpus+o.GPUs, mem+o.MemGB
		}
	}
	if cpus > w.build.VCPUs+1e-6 || gpus > w.build.Cards+1e-6 || mem > w.build.MemGB+1e-6 {
		refuse(wire.CauseInsufficientResources)
		return
	}
	a := &attempt{try: try, status: wire.TaskFetching, stopped: make(chan struct{})}
	w.tasks[lot] = a
	w.change()
	fetch := info.Fetch
	if w.images[info.Image] {
		fetch = 0
	}
	go w.runTask(lot, a, info, fetch)
}

func (w *Worker) runTask(lot string, a *attempt, info *JobInfo, fetch time.Duration) {
	if !w.waitIn(a, fetch) {
		return
	}
	w.mu.Lock()
	if a.status != wire.TaskFetching || w.tasks[lot] != a {
		w.mu.Unlock()
		return
	}
	w.images[info.Image] = true
	a.status = wire.TaskRunning
	w.d.taskStarted(lot, w.Name, a.try)
	w.change()
	w.mu.Unlock()
	if !w.waitIn(a, info.Run) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[lot] != a || a.status != wire.TaskRunning {
		return
	}
	a.status, a.cause = wire.TaskExited, wire.CauseDone
	w.d.taskEnded(lot, w.Name, true)
	w.change()
}

func (w *Worker) waitIn(a *attempt, d time.Duration) bool {
	select {
	case <-a.stopped:
		return false
	case <-time.After(d):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	select {
	case <-a.stopped:
		return false
	default:
		return true
	}
}

// halt stops a task. The caller holds mu.
func (w *Worker) halt(lot string, try uint64, leeway time.Duration) {
	a := w.tasks[lot]
	if a == nil || a.try != try || a.status == wire.TaskExited {
		return
	}
	w.d.Record.Printf("worker %s: halt %s try %d", w.Name, lot, try)
	if a.status != wire.TaskFetching {
		w.d.taskEnded(lot, w.Name, false)
	}
	close(a.stopped)
	a.status, a.cause = wire.TaskExited, wire.CauseStopped
	w.change()
}

func post(ctx context.Context, client *http.Client, url string, body []byte) (status int, response []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/cbor")
	return do(client, request)
}

func do(client *http.Client, request *http.Request) (status int, body []byte) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

func newReader(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
