package emulator

import (
	"os/exec"
	"sync"
	"time"

	"gingertally/internal/config"
	"gingertally/internal/controller/operatorapi"
)

// ClusterOptions are the options of StartCluster.
type ClusterOptions struct {
	Directory   string // for the controllers' settings files and logs
	Controllers int
	Machines    int
	Timings     Timings
	// Elastic lets the cloud create and delete machines; otherwise the set of machines is fixed.
	Elastic bool
	// Teams are the teams in the controllers' settings; if there are none, the cluster gets one
	// team without a guarantee or limit.
	Teams []config.Team
	// OperatorSettings is the content of the operators' settings file; if it is empty, controllers
	// run without one.
	OperatorSettings string
	// Command returns the command that runs a controller with the given settings files. The path
	// operatorSettings is empty if there are no operators' settings.
	Command func(settings, operatorSettings string) *exec.Cmd
}

// Cluster is a deployment on loopback: real controller processes, and emulated services and workers.
type Cluster struct {
	State       *StateService
	Cloud       *Cloud
	History     *History
	Controllers []*Controller

	options     ClusterOptions
	stop        chan struct{}  // closed by Stop
	serverGroup sync.WaitGroup // goroutines of the emulated services and of the workers' servers
	workerGroup sync.WaitGroup // goroutines that run workers

	mu      sync.Mutex
	workers map[string]*Worker // of the machines that exist, by machine
}

// defaultTeam is the name of the team that a cluster gets if its options have no teams.
const defaultTeam = "t"

var zones = []string{"a", "b", "c"}

// zoneOf returns the zone of the i-th controller or machine. They are spread evenly over the zones.
func zoneOf(i int) string { return zones[i%len(zones)] }

// StartCluster starts the emulated services, the controllers and the workers. The caller stops them
// with Stop.
func StartCluster(options ClusterOptions) (*Cluster, error) {
	if len(options.Teams) == 0 {
		options.Teams = []config.Team{{Name: defaultTeam}}
	}
	c := &Cluster{
		State: newStateService(), Cloud: &Cloud{Zones: zones}, History: NewHistory(), options: options,
		stop: make(chan struct{}), workers: map[string]*Worker{},
	}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	c.serverGroup.Go(func() { c.State.expireLeases(c.stop) })
	stateAddr, err := serve(c.State.Handle, c.stop, &c.serverGroup)
	if err != nil {
		return err
	}
	for i := range c.options.Machines {
		c.Cloud.add(zoneOf(i))
	}
	if c.options.Elastic {
		c.Cloud.Boot, c.Cloud.Delete = c.startWorker, c.deleteWorker
	}
	cloudAddr, err := serve(c.Cloud.Handle, c.stop, &c.serverGroup)
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

// Stop stops the controllers, the workers and the emulated services, and waits until they have ended.
func (c *Cluster) Stop() {
	for _, controller := range c.Controllers {
		if controller.process == nil {
			continue
		}
		_ = controller.Resume() // in case it is paused; an error doesn't matter, since Kill ends it
		controller.Kill()
	}
	close(c.stop)
	c.workerGroup.Wait()
	c.serverGroup.Wait()
}

// startWorker starts the worker of a machine, which begins to send heartbeats.
func (c *Cluster) startWorker(name, zone string) {
	var controllers []controllerAddr
	for _, controller := range c.Controllers {
		controllers = append(controllers, controllerAddr{name: controller.Name, addr: controller.Addr})
	}
	worker := newWorker(name, zone, c.options.Timings, controllers, c.History)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[name] = worker
	c.workerGroup.Go(func() {
		if err := worker.run(c.stop, &c.serverGroup); err != nil {
			c.History.recordViolation("worker %s: %v", name, err)
		}
	})
}

// deleteWorker ends the worker of a machine that is being deleted, and its tasks.
func (c *Cluster) deleteWorker(name string) {
	c.mu.Lock()
	worker := c.workers[name]
	delete(c.workers, name)
	c.mu.Unlock()
	if worker != nil {
		worker.delete()
	}
}

// Users returns users of the cluster's first team, who keep openJobs jobs open, each of up to maxTasks
// tasks. The caller runs them.
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

// Leader returns the first controller that reports itself as the leader, and its status; nil if none
// does.
func (c *Cluster) Leader() (*Controller, operatorapi.Status) {
	for _, controller := range c.Controllers {
		status, err := controller.Status()
		if err == nil && status.Node == controller.Name && status.Leading != nil {
			return controller, status
		}
	}
	return nil, operatorapi.Status{}
}

// workerSettings returns the settings by which controllers know the workers' timings.
func workerSettings(timings Timings) config.WorkerTimings {
	seconds := func(d time.Duration) config.Seconds { return config.Seconds(d.Seconds()) }
	return config.WorkerTimings{
		HeartbeatInterval: seconds(timings.Heartbeat), Lease: seconds(timings.Lease),
		GangWait: 10, GangPeer: 2, Cancel: seconds(2 * timings.Lease),
	}
}
