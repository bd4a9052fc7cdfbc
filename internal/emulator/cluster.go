package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/config"
)

// ClusterOptions say what a cluster on loopback is like.
type ClusterOptions struct {
	Directory   string // for settings files and logs
	Controllers int
	Machines    int
	Timings     Timings
	// Elastic: machines can be rented and given back; else they stay as they are.
	Elastic bool
	// Teams are the teams; none: one without guarantee or limit.
	Teams []config.Team
	// OperatorSettings is the operators' file as text; empty: none.
	OperatorSettings string
	// Command makes a controller's command from the paths of its settings files; the second
	// is empty without operators' settings.
	Command func(settings, operatorSettings string) *exec.Cmd
}

// Cluster is a deployment on loopback: real controller processes against stand-ins of all
// else.
type Cluster struct {
	State       *StateService
	Cloud       *Cloud
	History     *History
	Controllers []*Controller
	options     ClusterOptions
	stop        chan struct{}
	workers     sync.WaitGroup

	mu      sync.Mutex
	running map[string]*Worker // by machine
}

// Controller is one controller process.
type Controller struct {
	Name     string
	Addr     string // for users and workers
	settings string
	operator string
	log      string
	command  func(settings, operatorSettings string) *exec.Cmd

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// teamName is the only team where none is named.
const teamName = "t"

// zoneOf spreads controllers and machines over the zones.
func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

var zoneNames = []string{"a", "b", "c"}

// StartCluster starts stand-ins, controllers and workers.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	if len(options.Teams) == 0 {
		options.Teams = []config.Team{{Name: teamName}}
	}
	c := &Cluster{History: NewHistory(), options: options, stop: make(chan struct{})}
	c.State = NewStateService(c.stop)
	state, err := Serve(c.State.Handle, c.stop)
	if err != nil {
		return nil, err
	}
	c.Cloud = &Cloud{Zones: zoneNames}
	for i := range options.Machines {
		c.Cloud.add(zoneOf(i))
	}
	if options.Elastic {
		c.Cloud.Boot, c.Cloud.Delete = c.startWorker, c.endWorker
	}
	cloudAddr, err := Serve(c.Cloud.Handle, c.stop)
	if err != nil {
		return nil, err
	}
	if err := c.startControllers(config.Endpoints{Cloud: cloudAddr, State: state}); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range options.Machines {
		c.startWorker(MachineName(i), zoneOf(i))
	}
	return c, nil
}

// freeAddrs finds addresses on which nothing listens, of a loopback address of the cluster's
// own: a controller that is away for a while finds its port free when it is back, whatever the
// stand-ins of other clusters listen on.
func freeAddrs(n int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var listeners []net.Listener
	var addrs []string
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		listeners, addrs = append(listeners, l), append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func (c *Cluster) startControllers(endpoints config.Endpoints) error {
	n := c.options.Controllers
	addrs, err := freeAddrs(2 * n)
	if err != nil {
		return err
	}
	clients, peers := addrs[:n], addrs[n:]
	for i := range n {
		settings := c.settings(i, clients[i], peers, endpoints)
		controller, err := c.newController(settings)
		if err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, controller)
		if err := controller.Start(); err != nil {
			return err
		}
	}
	return nil
}

func controllerName(i int) string { return fmt.Sprintf("n-%d", i) }

// settings are a controller's, as the platform would hand them over.
func (c *Cluster) settings(i int, client string, peers []string, endpoints config.Endpoints) *config.Settings {
	s := &config.Settings{
		Member: controllerName(i), Zone: zoneOf(i), ClientListen: client, PeerListen: peers[i], Endpoints: endpoints,
		Params: config.Params{
			Zones: zoneNames, Teams: c.options.Teams,
			Workers: config.Workers{HeartbeatInterval: config.Seconds(c.options.Timings.Heartbeat.Seconds()), Lease: config.Seconds(c.options.Timings.Lease.Seconds()),
				GangWait: 10, GangPeer: 2, Cancel: config.Seconds(2 * c.options.Timings.Lease.Seconds())},
			State:     config.State{RPS: 500, WriteRPS: 200, ValueKB: 16, TxnOps: 32},
			Cloud:     config.Cloud{RPS: 20, ListLag: 0.5},
			Resources: config.Resources{CPUShare: 1, MemoryMB: 200, MaxSockets: 2000},
			SkewMS:    20,
		},
	}
	for k, addr := range peers {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Member: controllerName(k), Zone: zoneOf(k), Addr: addr})
		}
	}
	return s
}

// newController writes a controller's files.
func (c *Cluster) newController(settings *config.Settings) (*Controller, error) {
	file := func(suffix string) string { return filepath.Join(c.options.Directory, settings.Member+suffix) }
	controller := &Controller{Name: settings.Member, Addr: settings.ClientListen, settings: file(".json"), log: file(".log"), command: c.options.Command}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(controller.settings, text, 0o600); err != nil {
		return nil, err
	}
	if c.options.OperatorSettings == "" {
		return controller, nil
	}
	controller.operator = file(".txtpb")
	return controller, os.WriteFile(controller.operator, []byte(c.options.OperatorSettings), 0o600)
}

// Get reads a path of the controller's.
func (c *Controller) Get(path string, timeout time.Duration) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+c.Addr+path, timeout)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return body, err
}

// startWorker starts the worker of a machine, which reports from now on.
func (c *Cluster) startWorker(name, zone string) {
	addrs := map[string]string{}
	var names []string
	for _, controller := range c.Controllers {
		addrs[controller.Name] = controller.Addr
		names = append(names, controller.Name)
	}
	worker := NewWorker(name, zone, c.options.Timings, c.History)
	worker.Controllers = addrs
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = map[string]*Worker{}
	}
	c.running[name] = worker
	c.workers.Go(func() {
		if err := worker.Run(names, c.stop); err != nil {
			c.History.mu.Lock()
			c.History.fail("worker %s: %v", worker.Name, err)
			c.History.mu.Unlock()
		}
	})
}

// endWorker ends the worker of a machine and all on it.
func (c *Cluster) endWorker(name string) {
	c.mu.Lock()
	worker := c.running[name]
	delete(c.running, name)
	c.mu.Unlock()
	if worker != nil {
		worker.Delete()
	}
}

// Users are users of the cluster.
func (c *Cluster) Users(openJobs, maxTasks int) *Users {
	u := &Users{OpenJobs: openJobs, MaxTasks: maxTasks, Team: c.options.Teams[0].Name, Class: "c", Urgency: "normal", History: c.History, RunTime: c.options.Timings.RunTime}
	for _, controller := range c.Controllers {
		u.Controllers = append(u.Controllers, controller.Addr)
	}
	return u
}

// Stop ends the controllers, workers and stand-ins.
func (c *Cluster) Stop() {
	for _, controller := range c.Controllers {
		if controller.process == nil {
			continue
		}
		_ = controller.Resume()
		controller.Kill()
	}
	close(c.stop)
	c.workers.Wait()
}
