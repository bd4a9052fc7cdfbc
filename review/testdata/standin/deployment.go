// Package standin runs a small deployment on loopback for the review's cases: the project's own
// controllers as processes, by the commands of the deploy file, and stand-ins for the state service, the
// cloud, workers and users, each as its section of the protocol says.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Record writes record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Options of a deployment.
type Options struct {
	Binary      string
	Controllers int
	Zones       []string
	Report      time.Duration
	Lease       time.Duration
	Cancel      time.Duration
	GangWaitS   float64
	GangPeerS   float64
	State       StateLimits
	Latency     time.Duration // of the state service
	CloudRPS    float64
	ListLagS    float64
	CPUShare    float64
	MemoryMB    float64
	MaxSockets  int
	SkewMS      float64
	Teams       []map[string]any
	Objectives  []map[string]any
	Types       []MachineType
	Machines    []Machines
}

// Machines are a number of machines that are up at the start.
type Machines struct {
	Type, Zone string
	Count      int
}

// Controller is a process of the project.
type Controller struct {
	Name, Client, Peer string
	settings, log      string
	binary             string
	process            *exec.Cmd
	ended              chan struct{}
}

// Deployment is a running deployment.
type Deployment struct {
	Options     Options
	Record      *Record
	State       *State
	Cloud       *Cloud
	Controllers []*Controller
	Workers     []*Worker

	directory string
	stop      chan struct{}
	servers   []*http.Server

	mu    sync.Mutex
	jobs  map[string]*JobInfo
	on    map[string]string // machine of each task that runs
	Twice []string          // tasks that started on one machine while on another
}

// Start starts a deployment.
func Start(options Options, record *Record) (*Deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Options: options, Record: record, directory: directory, stop: make(chan struct{}),
		jobs: map[string]*JobInfo{}, on: map[string]string{},
	}
	d.State = newState(options.State, options.Latency, d.stop)
	d.Cloud = &Cloud{types: options.Types, release: d.release}
	cloud, err := d.serve(http.HandlerFunc(d.Cloud.handle))
	if err != nil {
		return d, err
	}
	addresses, err := freeAddresses(2 * options.Controllers)
	if err != nil {
		return d, err
	}
	for i := range options.Controllers {
		d.Controllers = append(d.Controllers, &Controller{
			Name: fmt.Sprintf("stall-%d", i), Client: addresses[2*i], Peer: addresses[2*i+1], binary: options.Binary,
		})
	}
	for i, c := range d.Controllers {
		state, err := d.serve(d.State.handler(c.Name))
		if err != nil {
			return d, err
		}
		if err := d.writeSettings(i, state, cloud); err != nil {
			return d, err
		}
		if err := c.Start(); err != nil {
			return d, err
		}
	}
	n := 0
	for _, m := range options.Machines {
		for range m.Count {
			n++
			if err := d.addMachine(fmt.Sprintf("m-%06d", n), m); err != nil {
				return d, err
			}
		}
	}
	return d, nil
}

func (d *Deployment) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func freeAddresses(n int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	return addresses, nil
}

func (d *Deployment) addMachine(name string, m Machines) error {
	for _, t := range d.Options.Types {
		if t.Label != m.Type {
			continue
		}
		w, err := newWorker(d, name, t, m.Zone)
		if err != nil {
			return err
		}
		d.Workers = append(d.Workers, w)
		d.Cloud.add(wire.Rental{Ref: name, Endpoint: w.address, Build: t.Label, Yard: m.Zone, Status: wire.RentalRunning, HeldS: 60})
	}
	return nil
}

func (d *Deployment) release(names []string) {
	for _, name := range names {
		for _, w := range d.Workers {
			if w.Name == name {
				d.Record.Printf("cloud: released %s", name)
				w.goneOnce.Do(func() { close(w.gone) })
			}
		}
	}
}

func (d *Deployment) writeSettings(i int, state, cloud string) error {
	c, o := d.Controllers[i], d.Options
	peers := []map[string]any{}
	for k, p := range d.Controllers {
		if k != i {
			peers = append(peers, map[string]any{"member": p.Name, "zone": o.Zones[k%len(o.Zones)], "addr": p.Peer})
		}
	}
	settings := map[string]any{
		"member": c.Name, "zone": o.Zones[i%len(o.Zones)], "client_listen": c.Client, "peer_listen": c.Peer,
		"peers": peers, "endpoints": map[string]any{"cloud": cloud, "state": state},
		"settings": map[string]any{
			"initial_size": o.Controllers, "zones": o.Zones, "teams": o.Teams, "objectives": o.Objectives,
			"workers": map[string]any{
				"report_s": o.Report.Seconds(), "lease_s": o.Lease.Seconds(), "gang_wait_s": o.GangWaitS,
				"gang_peer_s": o.GangPeerS, "cancel_s": o.Cancel.Seconds(),
			},
			"state": map[string]any{
				"rps": o.State.RPS, "write_rps": o.State.WriteRPS, "value_kb": o.State.ValueKB, "txn_ops": o.State.TxnOps,
			},
			"cloud":     map[string]any{"rps": o.CloudRPS, "list_lag_s": o.ListLagS},
			"resources": map[string]any{"cpu_share": o.CPUShare, "memory_mb": o.MemoryMB, "max_sockets": o.MaxSockets},
			"skew_ms":   o.SkewMS,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	c.settings = filepath.Join(d.directory, c.Name+".json")
	c.log = filepath.Join(d.directory, c.Name+".log")
	return os.WriteFile(c.settings, text, 0o600)
}

// Start starts the controller's process, by the run command of the deploy file.
func (c *Controller) Start() error {
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(c.binary, "--config", c.settings)
	process.Env = append(os.Environ(), "LOG_LEVEL=info")
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait()
		_ = log.Close()
	}()
	c.process, c.ended = process, ended
	return nil
}

// Kill kills the process and waits for its end.
func (c *Controller) Kill() {
	_ = c.process.Process.Signal(syscall.SIGKILL)
	<-c.ended
}

// Running reports whether the process runs.
func (c *Controller) Running() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// Stop ends everything that the deployment started.
func (d *Deployment) Stop() {
	for _, c := range d.Controllers {
		if c.process != nil && c.Running() {
			_ = c.process.Process.Signal(syscall.SIGCONT)
			c.Kill()
		}
	}
	close(d.stop)
	for _, server := range d.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", d.directory)
	}
}

func (d *Deployment) jobInfo(ref string) *JobInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[ref]
}

// Upload makes a job's description known to workers, as users do before they submit it.
func (d *Deployment) Upload(ref string, info JobInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[ref] = &info
}

func (d *Deployment) taskStarted(lot, machine string, try uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other := d.on[lot]; other != "" && other != machine {
		d.Twice = append(d.Twice, fmt.Sprintf("%s started on %s while on %s", lot, machine, other))
		d.Record.Printf("BROKEN: %s started on %s while on %s", lot, machine, other)
	}
	d.on[lot] = machine
	d.Record.Printf("worker %s: %s try %d runs", machine, lot, try)
}

func (d *Deployment) taskEnded(lot, machine string, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.on[lot] == machine {
		delete(d.on, lot)
	}
	if done {
		d.Record.Printf("worker %s: %s done", machine, lot)
	}
}

// On returns the machine that a task runs on.
func (d *Deployment) On(lot string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.on[lot]
}

// Leader returns the controller that most workers with the highest token got their last 200 from, and that
// token. A few may have got theirs through another controller.
func (d *Deployment) Leader() (*Controller, uint64) {
	var highest uint64
	for _, w := range d.Workers {
		_, gavel := w.Node()
		highest = max(highest, gavel)
	}
	count := map[string]int{}
	for _, w := range d.Workers {
		if node, gavel := w.Node(); node != "" && gavel == highest {
			count[node]++
		}
	}
	var leader *Controller
	for _, c := range d.Controllers {
		if count[c.Name] > 0 && (leader == nil || count[c.Name] > count[leader.Name]) {
			leader = c
		}
	}
	return leader, highest
}

// WaitFor waits until a condition holds, for a bounded time.
func WaitFor(bound time.Duration, holds func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// User calls controllers as users do.
type User struct {
	d      *Deployment
	client *http.Client
}

// NewUser returns a user with connections of its own.
func (d *Deployment) NewUser() *User {
	return &User{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// JobState is the answer about a job.
type JobState struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Call sends a request to a controller. Status is 0 without an answer.
func (u *User) Call(c *Controller, method, path string, body any, timeout time.Duration) (status int, state JobState) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var encoded []byte
	if body != nil {
		encoded = codec.MustMarshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Client+path, newReader(encoded))
	if err != nil {
		return 0, state
	}
	status, answerBody := do(u.client, request)
	if len(answerBody) > 0 {
		_ = codec.Unmarshal(answerBody, &state)
	}
	return status, state
}

// Get asks for a job's state.
func (u *User) Get(c *Controller, ref string) (int, JobState) {
	return u.Call(c, http.MethodGet, "/v2/runs/"+ref, nil, 2*time.Second)
}

// Submit submits a job until it is accepted, for up to a minute, at one controller after the other.
func (u *User) Submit(job map[string]any) bool {
	for end, i := time.Now().Add(time.Minute), 0; time.Now().Before(end); i++ {
		c := u.d.Controllers[i%len(u.d.Controllers)]
		if !c.Running() {
			continue
		}
		status, state := u.Call(c, http.MethodPost, "/v2/runs", job, 5*time.Second)
		u.d.Record.Printf("user: submit %s at %s: %d %s", job["ref"], c.Name, status, state.Status)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel asks a controller to cancel a job.
func (u *User) Cancel(c *Controller, ref string) (int, JobState) {
	status, state := u.Call(c, http.MethodPost, "/v2/runs/"+ref+"/withdraw", map[string]any{}, 5*time.Second)
	u.d.Record.Printf("user: withdraw %s at %s: %d %s", ref, c.Name, status, state.Status)
	return status, state
}

// StartedTwice lists the tasks that started on one machine while on another.
func (d *Deployment) StartedTwice() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.Twice...)
}

// Running returns how many tasks of a job run.
func (d *Deployment) Running(ref string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for lot := range d.on {
		if strings.HasPrefix(lot, ref+"/") {
			n++
		}
	}
	return n
}

// LeaderByStatus returns the controller that says that it leads with a valid lease, as operators see it; nil if
// none does.
func (d *Deployment) LeaderByStatus() *Controller {
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	for _, c := range d.Controllers {
		response, err := client.Get("http://" + c.Client + "/statusz")
		if err != nil {
			continue // it doesn't run
		}
		var status struct {
			Node    string          `json:"node"`
			Leading json.RawMessage `json:"leading"`
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err == nil && status.Node == c.Name && len(status.Leading) > 0 {
			return c
		}
	}
	return nil
}

// Settled returns the leader if all machines have its token and had an answer lately; else nil.
func (d *Deployment) Settled() *Controller {
	leader := d.LeaderByStatus()
	var highest uint64
	for _, w := range d.Workers {
		_, gavel := w.Node()
		highest = max(highest, gavel)
	}
	for _, w := range d.Workers {
		w.mu.Lock()
		current := w.ended() || w.gavel == highest && highest > 0 && time.Since(w.renewed) < 2*d.Options.Report+time.Second && w.lastNode != ""
		w.mu.Unlock()
		if !current {
			return nil
		}
	}
	return leader
}
