package core

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// loggedAttempt is the start log's newest attempt of a task, with the machine that it may be on.
type loggedAttempt struct {
	placed fleet.MachineStarts
	page   *fleet.StartLogPage
	number uint64
}

// recoverStartLog adds the attempts that may be on machines according to the start log
// (docs/design.md, safety argument 4).
func (e *Engine) recoverStartLog(now time.Time, stored []StoredPage) {
	for task, logged := range e.newestLogged(stored) {
		j := e.jobs.get(task.Ref)
		if j == nil || task.Task >= len(j.Tasks) || j.Tasks[task.Task].State() == pipeline.Finished {
			continue // if the attempt is still there, its machine's heartbeat reports it
		}
		m := e.machines.get(logged.placed.Machine)
		if m == nil {
			m = e.addAwaitingHeartbeat(now, logged.placed)
			m.VerifyExistence()
		}
		a := &fleet.Attempt{TaskID: task, Number: logged.number, Inherited: true,
			CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image}
		e.attach(now, m, a, fleet.Recorded)
		logged.page.Recover(a)
		j.Assign(task.Task, m.Name, logged.number)
	}
}

// newestLogged adds the pages of the start log and returns the highest attempt of each task in
// them. Of several entries for one task only the highest can be current, since it was written after
// the others were proven gone (TestHighestAttemptCounts).
func (e *Engine) newestLogged(stored []StoredPage) map[fleet.TaskID]loggedAttempt {
	newest := map[fleet.TaskID]loggedAttempt{}
	for _, s := range stored {
		p := fleet.NewStartLogPage(s.Name, s.Version)
		e.startLog.addPage(p)
		for _, placed := range s.Record.Placed {
			for _, entry := range placed.Entries {
				p.AddStale() // until it turns out to be current
				task := fleet.TaskID{Ref: entry.Ref, Task: entry.Task}
				if known, ok := newest[task]; !ok || entry.Attempt > known.number {
					newest[task] = loggedAttempt{placed, p, entry.Attempt}
				}
			}
		}
	}
	return newest
}

// addAwaitingHeartbeat adds a machine that the start log names and that hasn't sent a heartbeat in
// this term.
func (e *Engine) addAwaitingHeartbeat(now time.Time, p fleet.MachineStarts) *fleet.Machine {
	m := fleet.NewInheritedMachine(now, p.Machine, fleet.PoolKey{Type: p.Type, Zone: p.Zone, Spot: p.Spot})
	e.addMachine(now, m)
	e.recovery.AddRecordedMachine(m.Name)
	return m
}
