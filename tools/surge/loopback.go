package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"gingertally/internal/config"
	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
	"gingertally/tools/plots"
)

// Parameters of the cluster on loopback. Its machines have 8 CPUs, and its tasks ask for 2.
const (
	loopbackMachines = 12
	loopbackMaxTasks = 4 // per job
	loopbackRunTime  = 3 * time.Second
	// loopbackJobEndTimeout is how long users wait for admitted jobs to end after the load.
	loopbackJobEndTimeout = 4 * time.Minute
)

// loopbackTeam is a team with its number of users, each of whom submits one job after the other.
type loopbackTeam struct {
	config.Team
	users   int
	urgency string
}

var loopbackTeams = []loopbackTeam{
	{config.Team{Name: "pharmacy", GuaranteedCPUs: 32}, 4, "urgent"},
	{config.Team{Name: "large"}, 240, "normal"},
	{config.Team{Name: "small"}, 4, "normal"},
}

// loopbackSettings is the format of the operators' settings, with a verb for whether admission
// control is enabled.
const loopbackSettings = `admission { enabled: %v enter_backlog { seconds: 20 } exit_backlog { seconds: 8 } }
standby { enabled: true }
`

// action is something to do at a time after the start of the load.
type action struct {
	after time.Duration
	do    func()
}

// runLoopback runs real controllers on loopback under overload, kills the leader twice, and prints
// the results of each team.
func runLoopback(o options) error {
	return loadtest.InDirectory("", "surge", func(directory string) error {
		cluster, err := startLoopback(o, directory)
		if err != nil {
			return fmt.Errorf("start the cluster: %w", err)
		}
		defer cluster.Stop()
		runLoad(o, cluster)
		return reportLoopback(o, cluster)
	})
}

// startLoopback starts the controllers and the emulated rest of the deployment.
func startLoopback(o options, directory string) (*emulator.Cluster, error) {
	var teams []config.Team
	for _, t := range loopbackTeams {
		teams = append(teams, t.Team)
	}
	return emulator.StartCluster(emulator.ClusterOptions{
		Directory: directory, Controllers: 3, Machines: loopbackMachines, Teams: teams,
		Timings:          emulator.Timings{Heartbeat: time.Second, Lease: 15 * time.Second, RunTime: loopbackRunTime},
		OperatorSettings: fmt.Sprintf(loopbackSettings, !o.Without),
		Command:          emulator.CommandOf(o.Binary),
	})
}

// runLoad has the teams' users submit jobs for the length of the load, kills the leader twice
// meanwhile, prints the policy towards the end, and waits for the jobs to end.
func runLoad(o options, cluster *emulator.Cluster) {
	loadCtx, stop := context.WithTimeout(context.Background(), o.Length)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() {
		runActions(loadCtx, []action{
			{o.Length / 3, func() { restartLeader(cluster) }},
			{o.Length * 2 / 3, func() { restartLeader(cluster) }},
			{o.Length * 9 / 10, func() { printAdmission(cluster) }},
		})
	})
	firstUser := 0
	for _, t := range loopbackTeams {
		users := cluster.Users(t.users, loopbackMaxTasks)
		users.Team, users.Urgency, users.FirstNumber = t.Name, t.urgency, firstUser
		firstUser += t.users
		running.Go(func() { users.Run(loadCtx, loopbackJobEndTimeout) })
	}
	running.Wait()
}

// runActions runs each action when it is due. The actions are in the order of their times; those
// that are left when the load ends aren't run.
func runActions(loadCtx context.Context, actions []action) {
	begin := time.Now()
	for _, a := range actions {
		select {
		case <-time.After(time.Until(begin.Add(a.after))):
			a.do()
		case <-loadCtx.Done():
			return
		}
	}
}

// restartLeader kills the leader's process and starts it again.
func restartLeader(cluster *emulator.Cluster) {
	c, _ := cluster.Leader()
	if c == nil {
		fmt.Println("no leader to end")
		return
	}
	if err := c.Signal(syscall.SIGKILL); err != nil {
		fmt.Println("kill:", err)
	}
	c.WaitEnd(time.Second)
	if err := c.Start(); err != nil {
		fmt.Println("start:", err)
	}
}

// printAdmission prints the current admission policy and which policy each controller applies, as
// reported by the first controller whose status has them.
func printAdmission(cluster *emulator.Cluster) {
	for _, c := range cluster.Controllers {
		s, err := c.Status()
		if err != nil || s.Admission == nil {
			continue
		}
		a := s.Admission
		fmt.Printf("policy %d of term %d: %s; applied by %v\n", a.Number, a.Term, a.Reason, s.Policies)
		for _, class := range a.Classes {
			fmt.Printf("  %-9s asked %.3f due %.3f got %.3f, %.3f of the jobs each policy; offered %d, refused %d\n",
				class.Team, class.Asked, class.Due, class.Got, class.Fraction, class.Offered, class.Refused)
		}
		return
	}
}

// teamResult is what was measured of a team.
type teamResult struct {
	jobs, accepted, tasks int
	waits                 loadtest.Histogram // from the first submission to the first start
	admissions            loadtest.Histogram // from the first submission to the acceptance
}

// measureTeam summarizes the history of a team's jobs.
func measureTeam(cluster *emulator.Cluster, team string) teamResult {
	r := teamResult{waits: loadtest.NewHistogram(), admissions: loadtest.NewHistogram()}
	for _, j := range cluster.History.Jobs() {
		if j.Team != team {
			continue
		}
		r.jobs++
		if j.Admission >= 0 {
			r.accepted++
			r.admissions.Observe(j.Admission)
		}
		if j.Started >= 0 {
			r.tasks += j.Tasks
			r.waits.Observe(j.Started)
		}
	}
	return r
}

// reportLoopback prints the results of each team. It returns an error if a rule was violated or an
// accepted job hasn't ended.
func reportLoopback(o options, cluster *emulator.Cluster) error {
	title := "with admission control"
	if o.Without {
		title = "without admission control"
	}
	fmt.Printf("%s, %s on loopback, the leader killed twice\n", title, o.Length)
	fmt.Printf("%-10s %8s %8s %8s  %9s %9s %9s  %9s %9s\n",
		"team", "jobs", "accepted", "tasks", "wait p50", "p90", "max", "adm. p90", "max")
	chart := plots.Chart{Title: "Waits " + title, Subtitle: "loopback, from the first submission to the first start",
		X: "percentile", Y: "ms", Lines: map[string][]plots.Point{}}
	for _, t := range loopbackTeams {
		r := measureTeam(cluster, t.Name)
		fmt.Printf("%-10s %8d %8d %8d  %9s %9s %9s  %9s %9s\n", t.Name, r.jobs, r.accepted, r.tasks,
			r.waits.Quantile(50), r.waits.Quantile(90), r.waits.Quantile(100),
			r.admissions.Quantile(90), r.admissions.Quantile(100))
		chart.Lines[t.Name] = plots.Percentiles(r.waits.Histogram)
	}
	violations, open := cluster.History.Violations(), cluster.History.UnfinishedJobs()
	fmt.Printf("rules broken: %d, accepted jobs that never came to an end: %d\n", len(violations), len(open))
	for _, violation := range violations {
		fmt.Println(" ", violation)
	}
	if o.Page != "" {
		if err := plots.WritePage(o.Page, []plots.Chart{chart}); err != nil {
			return fmt.Errorf("write the plots to %s: %w", o.Page, err)
		}
	}
	if len(violations)+len(open) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}
