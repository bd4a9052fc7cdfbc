// Command case3 plays: the state service refuses the leader alone, another controller leads, and a job ends there.
// Then the state service refuses that one alone, and the first one may lead again. Meanwhile users ask the first
// one for the job again and again.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"gingertally/review/testdata/standin"
)

func main() { os.Exit(run()) }

const rounds = 7

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CantRun
	}
	d, err := standin.Start(standin.LivestockMart(), record)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return standin.Exit(record, standin.CantRun, "can't start: %v", err)
	}
	user := d.NewUser()
	told := &told{final: map[string]string{}, record: record}
	for round := range rounds {
		if problem := play(d, user, told, round); problem != "" {
			return standin.Exit(record, standin.CantRun, "round %d: %s", round, problem)
		}
	}
	if len(told.broken) > 0 {
		return standin.Exit(record, standin.Broken, "went_back broken %d times, first: %s", len(told.broken), told.broken[0])
	}
	return standin.Exit(record, standin.Held, "went_back held")
}

// told holds the final states that users were told.
type told struct {
	mu     sync.Mutex
	record *standin.Record
	final  map[string]string
	broken []string
}

// ask asks a controller about a job and checks the answer against what was told before the request.
func (t *told) ask(user *standin.User, c *standin.Controller, ref string, last *string) string {
	t.mu.Lock()
	before := t.final[ref]
	t.mu.Unlock()
	status, state := user.Get(c, ref)
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%d %s", status, state.Status)
	if text != *last {
		t.record.Printf("user: get %s at %s: %s", ref, c.Name, text)
		*last = text
	}
	if status != http.StatusOK {
		if status == http.StatusNotFound && before != "" {
			t.broken = append(t.broken, fmt.Sprintf("%s was %s, then 404 at %s", ref, before, c.Name))
		}
		return ""
	}
	if before != "" && state.Status != before {
		t.broken = append(t.broken, fmt.Sprintf("%s was told as %s, then as %s by %s", ref, before, state.Status, c.Name))
		t.record.Printf("BROKEN: %s", t.broken[len(t.broken)-1])
	}
	if state.Status == "done" || state.Status == "aborted" {
		t.final[ref] = state.Status
	}
	return state.Status
}

func play(d *standin.Deployment, user *standin.User, told *told, round int) string {
	record := d.Record
	var leader *standin.Controller
	settled := func() bool {
		leader = d.Settled()
		return leader != nil
	}
	if !standin.WaitFor(30*time.Second, settled) {
		return "nobody leads"
	}
	ref := fmt.Sprintf("j-%06d", 700+round)
	d.Upload(ref, standin.WeightTicketInfo(5500*time.Millisecond))
	if !user.Submit(standin.WeightTicketRead(ref, 1, 6)) {
		return "not accepted"
	}
	if !standin.WaitFor(10*time.Second, func() bool { return d.On(ref+"/0") != "" }) {
		return "not started"
	}
	record.Printf("leader: %s", leader.Name)
	if standin.Trouble() {
		record.Printf("trouble: the state service refuses %s", leader.Name)
		d.State.Refuse(leader.Name, true)
	}
	last := ""
	done := func() bool {
		for _, c := range d.Controllers {
			if told.ask(user, c, ref, &last) == "done" {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	if !standin.WaitFor(25*time.Second, done) {
		return "job not done"
	}
	second := d.LeaderByStatus()
	if standin.Trouble() {
		if second == nil || second == leader {
			return "nobody else leads"
		}
		record.Printf("trouble: the state service serves %s again, and refuses %s, which leads now", leader.Name, second.Name)
		d.State.Refuse(leader.Name, false)
		d.State.Refuse(second.Name, true)
	}
	var users sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for range 4 {
		users.Go(func() {
			user, last := d.NewUser(), ""
			for time.Now().Before(end) {
				told.ask(user, leader, ref, &last)
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	users.Wait()
	if standin.Trouble() {
		record.Printf("trouble over")
		d.State.Refuse(second.Name, false)
	}
	return ""
}
