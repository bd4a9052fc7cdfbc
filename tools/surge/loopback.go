package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/config"
	"gingertally/internal/emulator"
	"gingertally/tools/plots"
)

// The cluster on loopback: 12 machines of 8 GuaranteedCPUs, jobs of up to four tasks of two GuaranteedCPUs.
const (
	loopbackMachines = 12
	loopbackTasks    = 4
	loopbackRun      = 3 * time.Second
	loopbackDrain    = 4 * time.Minute
)

// loopbackTeams are the teams with how many users each has, who submit one job after the
// other.
var loopbackTeams = []struct {
	config.Team
	users   int
	urgency string
}{
	{config.Team{Name: "pharmacy", GuaranteedCPUs: 32}, 4, "urgent"},
	{config.Team{Name: "large"}, 240, "normal"},
	{config.Team{Name: "small"}, 4, "normal"},
}

const loopbackSettings = `admission { enabled: %v enter_backlog { seconds: 20 } exit_backlog { seconds: 8 } }
standby { enabled: true }
`

// runLoopback plays real controllers under overload, ends the leader twice, and prints what
// each team got.
func runLoopback(o options) error {
	directory, err := os.MkdirTemp("", "surge")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	var teams []config.Team
	for _, t := range loopbackTeams {
		teams = append(teams, t.Team)
	}
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: directory, Controllers: 3, Machines: loopbackMachines, Teams: teams,
		Timings:          emulator.Timings{Heartbeat: time.Second, Lease: 15 * time.Second, RunTime: loopbackRun},
		OperatorSettings: fmt.Sprintf(loopbackSettings, !o.Without),
		Command:          emulator.Program(o.Binary),
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	load, stop := context.WithTimeout(context.Background(), o.Length)
	defer stop()
	for _, after := range []time.Duration{o.Length / 3, o.Length * 2 / 3} {
		time.AfterFunc(after, func() { endLeader(cluster) })
	}
	time.AfterFunc(o.Length*9/10, func() { showAdmission(cluster) })
	var users sync.WaitGroup
	first := 0
	for _, t := range loopbackTeams {
		u := cluster.Users(t.users, loopbackTasks)
		u.Team, u.Urgency, u.First = t.Name, t.urgency, first
		first += t.users
		users.Go(func() { u.Run(load, loopbackDrain) })
	}
	users.Wait()
	return reportLoopback(o, cluster)
}

// endLeader kills the leader and starts it again.
func endLeader(cluster *emulator.Cluster) {
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

// showAdmission prints what the controllers apply.
func showAdmission(cluster *emulator.Cluster) {
	for _, c := range cluster.Controllers {
		s, err := c.Status()
		if err != nil || s.Admission == nil {
			continue
		}
		a := s.Admission
		fmt.Printf("policy %d of term %d: %s; applied by %v\n", a.Number, a.Term, a.Reason, s.Policies)
		for _, class := range a.Classes {
			fmt.Printf("  %-9s asked %.3f due %.3f got %.3f, %.3f of the jobs each policy; offered %d, refused %d\n", class.Team, class.Asked, class.Due, class.Got,
				class.Fraction, class.Offered, class.Refused)
		}
		return
	}
}

// reportLoopback prints what each team got.
func reportLoopback(o options, cluster *emulator.Cluster) error {
	name := map[bool]string{true: "without admission control", false: "with admission control"}[o.Without]
	fmt.Printf("%s, %s on loopback, the leader killed twice\n", name, o.Length)
	fmt.Printf("%-10s %8s %8s %8s  %9s %9s %9s  %9s %9s\n", "team", "jobs", "accepted", "tasks", "wait p50", "p90", "max", "adm. p90", "max")
	chart := plots.Chart{Title: "Waits " + name, Subtitle: "loopback, from the first submission to the first start", X: "percentile", Y: "ms", Lines: map[string][]plots.Point{}}
	for _, t := range loopbackTeams {
		waits, admissions := hdrhistogram.New(1, 3_600_000, 3), hdrhistogram.New(1, 3_600_000, 3)
		jobs, accepted, tasks := 0, 0, 0
		for _, j := range cluster.History.Jobs() {
			if j.Team != t.Name {
				continue
			}
			jobs++
			if j.Admission >= 0 {
				accepted++
				record(admissions, j.Admission)
			}
			if j.Started >= 0 {
				tasks += j.Tasks
				record(waits, j.Started)
			}
		}
		fmt.Printf("%-10s %8d %8d %8d  %9s %9s %9s  %9s %9s\n", t.Name, jobs, accepted, tasks, quantile(waits, 50), quantile(waits, 90), quantile(waits, 100),
			quantile(admissions, 90), quantile(admissions, 100))
		chart.Lines[t.Name] = plots.Percentiles(waits)
	}
	broken := cluster.History.Broken()
	fmt.Printf("rules broken: %d, accepted jobs that never came to an end: %d\n", len(broken), len(cluster.History.Open()))
	for _, rule := range broken {
		fmt.Println(" ", rule)
	}
	if o.Page != "" {
		if err := plots.WritePage(o.Page, []plots.Chart{chart}); err != nil {
			return err
		}
	}
	if len(broken)+len(cluster.History.Open()) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Milliseconds())) // within the bounds
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Millisecond).Round(10 * time.Millisecond)
}
