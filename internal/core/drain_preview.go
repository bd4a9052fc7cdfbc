package core

import (
	"slices"
	"time"

	"gingertally/internal/drain"
)

// maxPreviewMachines is how many machines a preview lists at most.
const maxPreviewMachines = 200

// PreviewDrain returns what a plan would do in the present state, and changes nothing; nil if
// drains are off.
func (e *Engine) PreviewDrain(now time.Time, plan drain.Plan) *drain.Preview {
	if e.drains == nil {
		return nil
	}
	plan.Through = e.drains.lastMachine
	preview := &drain.Preview{}
	plan.CreatedMS = now.UnixMilli()
	interrupted := map[drain.Scope]int{}
	for _, name := range e.machines.names() {
		m := e.machines.get(name)
		if !plan.Selects(drain.MachineInfo{Name: m.Name, Type: m.Type, Zone: m.Zone}) {
			continue
		}
		stage := preview.Machines / plan.MaxAtOnce
		preview.Machines++
		preview.Stages = stage + 1
		listed := drain.PreviewMachine{Name: m.Name, Stage: stage + 1, Blocked: e.mayCordon(now, m, plan.DeadlineAt()).String()}
		for _, group := range e.workOn(now, m).groups {
			scope := drain.Scope{Team: group.job.Team, Class: group.job.Class}
			interrupted[scope] += len(group.attempts)
			listed.Work = append(listed.Work, drain.PreviewWork{
				Scope: scope, Job: group.job.Ref, Tasks: len(group.attempts),
				Verdict: e.judge(now, group).String(),
			})
		}
		if len(preview.Listed) < maxPreviewMachines {
			preview.Listed = append(preview.Listed, listed)
		}
	}
	for scope, tasks := range interrupted {
		preview.Interrupted = append(preview.Interrupted, drain.PreviewScope{Scope: scope, Tasks: tasks})
	}
	slices.SortFunc(preview.Interrupted, func(a, b drain.PreviewScope) int { return a.Scope.Compare(b.Scope) })
	return preview
}
