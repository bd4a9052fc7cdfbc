// Command case1 plays: machines reach no controller as they get work, the state service refuses the leader alone, another
// controller leads and places the work elsewhere, the other controllers end, the first one is served again and
// leads once more, and the machines reach it.
package main

import (
	"fmt"
	"os"
	"time"

	"gingertally/review/testdata/standin"
)

func main() { os.Exit(run()) }

const (
	rounds = 3
	muted  = 60
)

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CantRun
	}
	options := standin.LivestockMart()
	options.Machines[0].Count, options.Machines[1].Count, options.Machines[2].Count = 50, 50, 60
	d, err := standin.Start(options, record)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return standin.Exit(record, standin.CantRun, "can't start: %v", err)
	}
	for round := range rounds {
		if problem := play(d, round); problem != "" {
			return standin.Exit(record, standin.CantRun, "round %d: %s", round, problem)
		}
	}
	if twice := d.StartedTwice(); len(twice) > 0 {
		return standin.Exit(record, standin.Broken, "ran_twice broken %d times, first: %s", len(twice), twice[0])
	}
	return standin.Exit(record, standin.Held, "ran_twice held")
}

func job(ref string, lots int) map[string]any {
	m := standin.WeightTicketRead(ref, lots, 40)
	m["vcpus"], m["mem_gb"] = 30.0, 60.0
	return m
}

func info(run time.Duration) standin.JobInfo {
	i := standin.WeightTicketInfo(run)
	i.CPUs, i.MemGB = 30, 60
	return i
}

func play(d *standin.Deployment, round int) string {
	record := d.Record
	user := d.NewUser()
	var leader *standin.Controller
	settled := func() bool {
		leader = d.Settled()
		return leader != nil
	}
	if !standin.WaitFor(30*time.Second, settled) {
		return "nobody leads"
	}
	if round == 0 {
		ref := "j-000800"
		d.Upload(ref, info(500*time.Millisecond))
		if !user.Submit(job(ref, 2*len(d.Workers))) {
			return "not accepted"
		}
		done := func() bool { _, state := user.Get(leader, ref); return state.Status == "done" }
		if !standin.WaitFor(20*time.Second, done) {
			return "first job not done"
		}
	}
	ref := fmt.Sprintf("j-%06d", 900+round)
	d.Upload(ref, info(25*time.Second))
	if standin.Trouble() {
		record.Printf("trouble: %d machines reach no controller", muted)
		for _, w := range d.Workers[len(d.Workers)-muted:] {
			w.Mute(20500 * time.Millisecond)
		}
	}
	time.Sleep(1600 * time.Millisecond)
	if !user.Submit(job(ref, 2*muted)) {
		return "not accepted"
	}
	time.Sleep(700 * time.Millisecond)
	if !standin.Trouble() {
		time.Sleep(28 * time.Second)
		return ""
	}
	record.Printf("trouble: the state service refuses %s", leader.Name)
	d.State.Refuse(leader.Name, true)
	began := d.Running(ref)
	record.Printf("%d tasks run", began)
	if !standin.WaitFor(22*time.Second, func() bool { return d.Running(ref) >= 2*muted*9/10 }) {
		record.Printf("%d tasks run", d.Running(ref))
		return "work wasn't placed anew"
	}
	var ended []*standin.Controller
	killed := time.Now()
	for _, c := range d.Controllers {
		if c != leader {
			record.Printf("trouble: %s is killed", c.Name)
			c.Kill()
			ended = append(ended, c)
		}
	}
	time.Sleep(3100 * time.Millisecond)
	record.Printf("trouble over: the state service serves %s", leader.Name)
	d.State.Refuse(leader.Name, false)
	time.Sleep(time.Until(killed.Add(5 * time.Second)))
	for _, c := range ended {
		record.Printf("%s is started again", c.Name)
		if err := c.Start(); err != nil {
			return err.Error()
		}
	}
	time.Sleep(3 * time.Second)
	return ""
}
