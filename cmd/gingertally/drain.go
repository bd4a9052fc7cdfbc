package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"gingertally/internal/client"
	"gingertally/internal/drain"
)

type drainCmd struct {
	Start  drainStartCmd  `cmd:"" help:"Have machines emptied and given back, within the disruption budgets."`
	Status drainStatusCmd `cmd:"" help:"Show plans, interruptions against budgets, and why machines aren't empty."`
	Pause  drainPauseCmd  `cmd:"" help:"Disrupt nothing more for a plan; what is cordoned stays so."`
	Resume drainResumeCmd `cmd:"" help:"Go on with a plan."`
	Cancel drainCancelCmd `cmd:"" help:"End a plan and uncordon its machines."`
}

type drainStartCmd struct {
	serverFlag
	ID           string        `help:"Name of the plan; a repeated command with the same name changes nothing. By chance if not given."`
	Machine      []string      `help:"Machines by name."`
	Type         string        `help:"Machines of this type."`
	Zone         string        `help:"Machines in this zone."`
	All          bool          `help:"All machines that are there now."`
	MaxAtOnce    int           `default:"1" help:"Machines that are cordoned at a time."`
	Surge        int           `default:"1" help:"Replacements that may be rented ahead at a time, where work has no room elsewhere."`
	Deadline     time.Duration `help:"After which the plan ends."`
	KeepCordoned bool          `help:"At the deadline, keep cordoned what isn't empty; else it is uncordoned."`
	DryRun       bool          `help:"Only show the stages, what each would interrupt, and what blocks it."`
	JSON         bool          `name:"json" help:"Print JSON."`
}

// Run starts a plan and prints it, or prints what the plan would do.
func (c *drainStartCmd) Run() error {
	plan := drain.Plan{
		ID: c.ID, Selector: drain.Selector{Machines: c.Machine, Type: c.Type, Zone: c.Zone, All: c.All},
		MaxAtOnce: c.MaxAtOnce, Surge: c.Surge, Deadline: c.Deadline, KeepCordoned: c.KeepCordoned,
	}
	if plan.ID == "" {
		plan.ID = fmt.Sprintf("drain-%08x", rand.Uint32())
	}
	if err := plan.Check(); err != nil {
		return fmt.Errorf("drain plan %s: %w: %w", plan.ID, client.ErrRefused, err)
	}
	if c.DryRun {
		return c.preview(plan)
	}
	started, err := c.client().StartDrain(context.Background(), plan)
	return printPlan(started, err, c.JSON)
}

// preview prints what a plan would do, without starting it.
func (c *drainStartCmd) preview(plan drain.Plan) error {
	preview, err := c.client().PreviewDrain(context.Background(), plan)
	switch {
	case err != nil:
		return err
	case c.JSON:
		return printJSON(os.Stdout, preview)
	}
	return printTable(os.Stdout, previewText(&preview))
}

// previewText returns the table of a preview, with cells separated by tabs.
func previewText(p *drain.Preview) string {
	var text strings.Builder
	fmt.Fprintf(&text, "machines\t%d\nstages\t%d\n", p.Machines, p.Stages)
	for _, scope := range p.Interrupted {
		fmt.Fprintf(&text, "would interrupt\t%s: %d tasks\n", scope.Scope, scope.Tasks)
	}
	fmt.Fprintln(&text, "\nSTAGE\tMACHINE\tJOB\tOF\tTASKS\tBLOCKED BY")
	for _, m := range p.Listed {
		fmt.Fprintf(&text, "%d\t%s\t\t\t\t%s\n", m.Stage, m.Name, m.Blocked)
		for _, work := range m.Work {
			fmt.Fprintf(&text, "\t\t%s\t%s\t%d\t%s\n", work.Job, work.Scope, work.Tasks, work.Verdict)
		}
	}
	if more := p.Machines - len(p.Listed); more > 0 {
		fmt.Fprintf(&text, "and %d more machines\n", more)
	}
	return text.String()
}

// drainPlanArg holds the argument and flags of the commands that change a plan.
type drainPlanArg struct {
	serverFlag
	Plan string `arg:"" help:"Name of the plan."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// change pauses, resumes or cancels the plan, as verb says, and prints the changed plan.
func (a *drainPlanArg) change(verb string) error {
	changed, err := a.client().ChangeDrain(context.Background(), a.Plan, verb)
	return printPlan(changed, err, a.JSON)
}

type drainPauseCmd struct{ drainPlanArg }

// Run pauses a plan.
func (c *drainPauseCmd) Run() error { return c.change("pause") }

type drainResumeCmd struct{ drainPlanArg }

// Run resumes a plan.
func (c *drainResumeCmd) Run() error { return c.change("resume") }

type drainCancelCmd struct{ drainPlanArg }

// Run cancels a plan.
func (c *drainCancelCmd) Run() error { return c.change("cancel") }

type drainStatusCmd struct {
	serverFlag
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the plans, the interruptions, and why machines aren't empty yet.
func (c *drainStatusCmd) Run() error {
	leader, err := c.leaderStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, leader.Drains)
	}
	return printTable(os.Stdout, drainText(leader.Drains))
}

// drainText returns the tables of the drains' status, with cells separated by tabs.
func drainText(status *drain.Status) string {
	if status == nil {
		return "drains are off\n"
	}
	var text strings.Builder
	writePlans(&text, status)
	writeBudgets(&text, status)
	writeDrainingMachines(&text, status)
	return text.String()
}

// writePlans writes the table of the plans.
func writePlans(text *strings.Builder, status *drain.Status) {
	fmt.Fprintln(text, "PLAN\tPHASE\tMACHINES\tAT ONCE\tSURGE")
	for _, plan := range status.Plans {
		var states []string
		for _, state := range slices.Sorted(maps.Keys(plan.Machines)) {
			states = append(states, fmt.Sprintf("%d %s", plan.Machines[state], state))
		}
		fmt.Fprintf(text, "%s\t%s\t%s\t%d\t%d\n",
			plan.ID, plan.PhaseName, strings.Join(states, ", "), plan.MaxAtOnce, plan.Surge)
	}
}

// writeBudgets writes the table of the interruptions in each scope, against its budget.
func writeBudgets(text *strings.Builder, status *drain.Status) {
	fmt.Fprintln(text, "\nOF\tVOLUNTARY\tINVOLUNTARY\tIN THE WINDOW\tALLOWED IN IT")
	for _, scope := range status.Scopes {
		allowed := "any number"
		if scope.Limit != drain.Unlimited {
			allowed = fmt.Sprintf("%d in %s", scope.Limit, scope.Window)
		}
		fmt.Fprintf(text, "%s\t%d\t%d\t%d\t%s\n",
			scope.Scope, scope.Voluntary, scope.Involuntary, scope.InWindow, allowed)
	}
}

// writeDrainingMachines writes the table of the machines that aren't empty yet, with the reason.
func writeDrainingMachines(text *strings.Builder, status *drain.Status) {
	fmt.Fprintln(text, "\nMACHINE\tPLAN\tSTATE\tWAITS FOR")
	for _, plan := range status.Plans {
		for _, machine := range plan.Waiting {
			fmt.Fprintf(text, "%s\t%s\t%s\t%s\n", machine.Name, plan.ID, machine.State, machine.Reason)
		}
		if plan.More > 0 {
			fmt.Fprintf(text, "and %d more of %s\n", plan.More, plan.ID)
		}
	}
}

// printPlan prints the name and phase of a plan, or the plan in JSON. It takes the results of the call
// that returned the plan, and returns err if that call failed.
func printPlan(plan drain.Plan, err error, asJSON bool) error {
	switch {
	case err != nil:
		return err
	case asJSON:
		return printJSON(os.Stdout, plan)
	}
	_, err = fmt.Printf("%s %s\n", plan.ID, plan.Phase)
	return err
}
