package emulator

import (
	"os/exec"
	"sync"
	"time"

	"gingertally/internal/config"
	"gingertally/internal/controller/operatorapi"
)

// ClusterOptions say what a cluster on loopback is like.
type ClusterOptions struct {
	Directory   string // for settings files and logs
	Controllers int
	Machines    int
	Timings     Timings
	// Elastic has the cloud create and delete machines; else they stay as they are.
	Elastic bool
	// Teams are the teams; none stands for one without guarantee or limit.
	Teams []config.Team
	// OperatorSettings is the text of the operators' file; empty for none.
	OperatorSettings string
	// Command makes a controller's command from the paths of its settings files; the second is empty
	// without operators' settings.
	Command func(settings, operatorSettings string) *exec.Cmd
}

// Cluster is a deployment on loopback: real controller processes against stand-ins of all else.
type Cluster struct {
	State       *StateService
	Cloud       *Cloud
	History     *History
	Controllers []*Controller

	options ClusterOptions
	stop    chan struct{}  // closed by Stop
	servers sync.WaitGroup // goroutines of the stand-ins' servers
	workers sync.WaitGroup

	mu      sync.Mutex
	running map[string]*Worker // by machine
}

// defaultTeam is the only team where the options name none.
const defaultTeam = "t"

var zones = []string{"a", "b", "c"}

// zoneOf spreads controllers and machines over the zones.
func zoneOf(i int) string { return zones[i%len(zones)] }

// StartCluster starts stand-ins, controllers and workers. The caller ends them with Stop.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	if len(options.Teams) == 0 {
		options.Teams = []config.Team{{Name: defaultTeam}}
	}
	c := &Cluster{
		State: newStateService(), Cloud: &Cloud{Zones: zones}, History: NewHistory(), options: options,
		stop: make(chan struct{}), running: map[string]*Worker{},
	}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.servers.Go(func() { c.State.expireLeases(c.stop) })
	stateAddr, err := serve(c.State.Handle, c.stop, &c.servers)
	if err != nil {
		return err
	}
	for i := range c.options.Machines {
		c.Cloud.add(zoneOf(i))
	}
	if c.options.Elastic {
		c.Cloud.Boot, c.Cloud.Delete = c.startWorker, c.endWorker
	}
	cloudAddr, err := serve(c.Cloud.Handle, c.stop, &c.servers)
	if err != nil {
		return err
	}
	if err := c.startControllers(config.Endpoints{Cloud: cloudAddr, State: stateAddr}); err != nil {
		return err
	}
	for i := range c.options.Machines {
		c.startWorker(MachineName(i), zoneOf(i))
	}
	return nil
}

// Stop ends controllers, workers and stand-ins, and waits for them.
func (c *Cluster) Stop() {
	for _, controller := range c.Controllers {
		if controller.process == nil {
			continue
		}
		_ = controller.Resume() // a paused process ends only when it goes on
		controller.Kill()
	}
	close(c.stop)
	c.workers.Wait()
	c.servers.Wait()
}

// startWorker starts the worker of a machine, which sends heartbeats from now on.
func (c *Cluster) startWorker(name, zone string) {
	var controllers []controllerAddr
	for _, controller := range c.Controllers {
		controllers = append(controllers, controllerAddr{name: controller.Name, addr: controller.Addr})
	}
	worker := newWorker(name, zone, c.options.Timings, controllers, c.History)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[name] = worker
	c.workers.Go(func() {
		if err := worker.run(c.stop, &c.servers); err != nil {
			c.History.fail("worker %s: %v", name, err)
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
		worker.delete()
	}
}

// Users are users of the cluster, of its first team.
func (c *Cluster) Users(openJobs, maxTasks int) *Users {
	users := &Users{
		OpenJobs: openJobs, MaxTasks: maxTasks, Team: c.options.Teams[0].Name, Class: "c", Urgency: "normal",
		History: c.History, RunTime: c.options.Timings.RunTime,
	}
	for _, controller := range c.Controllers {
		users.Controllers = append(users.Controllers, controller.Addr)
	}
	return users
}

// Leader is the controller that says of itself that it leads, with its status; nil if none does.
func (c *Cluster) Leader() (*Controller, operatorapi.Status) {
	for _, controller := range c.Controllers {
		status, err := controller.Status()
		if err == nil && status.Node == controller.Name && status.Leading != nil {
			return controller, status
		}
	}
	return nil, operatorapi.Status{}
}

// controllerTimings are the workers' timings as controllers are told them.
func controllerTimings(timings Timings) config.Workers {
	seconds := func(d time.Duration) config.Seconds { return config.Seconds(d.Seconds()) }
	return config.Workers{
		HeartbeatInterval: seconds(timings.Heartbeat), Lease: seconds(timings.Lease),
		GangWait: 10, GangPeer: 2, Cancel: seconds(2 * timings.Lease),
	}
}
