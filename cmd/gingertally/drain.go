package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
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

// Run starts a drain, or shows what it would do.
func (c *drainStartCmd) Run() error {
	plan := drain.Plan{
		ID: c.ID, Selector: drain.Selector{Machines: c.Machine, Type: c.Type, Zone: c.Zone, All: c.All},
		MaxAtOnce: c.MaxAtOnce, Surge: c.Surge, Deadline: c.Deadline, KeepCordoned: c.KeepCordoned,
	}
	if plan.ID == "" {
		plan.ID = fmt.Sprintf("drain-%08x", rand.Uint32())
	}
	if err := plan.Check(); err != nil {
		return exitError{err, exitRefused}
	}
	if c.DryRun {
		return c.preview(plan)
	}
	answer, err := (&client.Client{Addr: c.Server}).StartDrain(context.Background(), plan)
	return printPlan(answer, err, c.JSON)
}

// preview shows what a plan would do.
func (c *drainStartCmd) preview(plan drain.Plan) error {
	preview, err := (&client.Client{Addr: c.Server}).PreviewDrain(context.Background(), plan)
	switch {
	case err != nil:
		return withCode(err)
	case c.JSON:
		return printJSON(preview)
	}
	return printTable(os.Stdout, previewText(&preview))
}

// previewText is a preview with cells set off by tabs.
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

// drainPlanArg names a plan.
type drainPlanArg struct {
	serverFlag
	Plan string `arg:"" help:"Name of the plan."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// change takes the plan to another phase.
func (a *drainPlanArg) change(verb string) error {
	answer, err := (&client.Client{Addr: a.Server}).ChangeDrain(context.Background(), a.Plan, verb)
	return printPlan(answer, err, a.JSON)
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

// Run shows how far plans are.
func (c *drainStatusCmd) Run() error {
	status, err := fetchStatus(c.Server)
	if err != nil {
		return err
	}
	if status.Leading == nil {
		return exitError{fmt.Errorf("%s: the leader can't be asked", c.Server), exitGaveUp}
	}
	if c.JSON {
		return printJSON(status.Leading.Drains)
	}
	return printTable(os.Stdout, drainText(status.Leading.Drains))
}

// drainText is the status of drains with cells set off by tabs.
func drainText(s *drain.Status) string {
	if s == nil {
		return "drains are off\n"
	}
	var text strings.Builder
	fmt.Fprintln(&text, "PLAN\tPHASE\tMACHINES\tAT ONCE\tSURGE")
	for _, p := range s.Plans {
		var states []string
		for _, state := range slices.Sorted(maps.Keys(p.Machines)) {
			states = append(states, fmt.Sprintf("%d %s", p.Machines[state], state))
		}
		fmt.Fprintf(&text, "%s\t%s\t%s\t%d\t%d\n", p.ID, p.PhaseName, strings.Join(states, ", "), p.MaxAtOnce, p.Surge)
	}
	fmt.Fprintln(&text, "\nOF\tVOLUNTARY\tINVOLUNTARY\tIN THE WINDOW\tALLOWED IN IT")
	for _, scope := range s.Scopes {
		allowed := "any number"
		if scope.Limit != drain.Unlimited {
			allowed = fmt.Sprintf("%d in %s", scope.Limit, scope.Window)
		}
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%s\n", scope.Scope, scope.Voluntary, scope.Involuntary, scope.InWindow, allowed)
	}
	fmt.Fprintln(&text, "\nMACHINE\tPLAN\tSTATE\tWAITS FOR")
	for _, p := range s.Plans {
		for _, m := range p.Waiting {
			fmt.Fprintf(&text, "%s\t%s\t%s\t%s\n", m.Name, p.ID, m.State, m.Reason)
		}
		if p.More > 0 {
			fmt.Fprintf(&text, "and %d more of %s\n", p.More, p.ID)
		}
	}
	return text.String()
}

// withCode gives an error of a call about drains its exit code.
func withCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, client.ErrNotFound):
		return exitError{err, exitNotFound}
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrConflict):
		return exitError{err, exitRefused}
	}
	return exitError{err, exitGaveUp}
}

// printPlan prints a plan as it now is.
func printPlan(plan drain.Plan, err error, asJSON bool) error {
	switch {
	case err != nil:
		return withCode(err)
	case asJSON:
		return printJSON(plan)
	}
	_, err = fmt.Printf("%s %s\n", plan.ID, plan.Phase)
	return err
}

// printJSON prints a message.
func printJSON(message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(text))
	return err
}

// printTable prints text with cells set off by tabs in aligned columns.
func printTable(out io.Writer, text string) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(table, text); err != nil {
		return err
	}
	return table.Flush()
}
