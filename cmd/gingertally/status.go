package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/replication"
	"gingertally/internal/core"
	"gingertally/internal/standby"
)

type statusCmd struct {
	serverFlag
	JSON bool `name:"json" help:"Print JSON as the controller sends it."`
}

// Run prints the status, as a table or in JSON.
func (c *statusCmd) Run() error {
	if c.JSON {
		body, err := c.statusBody()
		if err != nil {
			return err
		}
		_, err = fmt.Println(string(body))
		return err
	}
	status, err := c.status()
	if err != nil {
		return err
	}
	return printTable(os.Stdout, statusText(status))
}

// statusText returns the tables of a status, with cells separated by tabs.
func statusText(status operatorapi.Status) string {
	var text strings.Builder
	writeControllers(&text, status)
	if status.Leading == nil {
		fmt.Fprintln(&text, "\nThe leader can't be asked.")
		return text.String()
	}
	writePools(&text, status.Leading)
	writeWaiting(&text, status.Leading)
	return text.String()
}

// writeControllers writes the leader's name, the controller that answered, and the versions and standbys
// of all controllers.
func writeControllers(text *strings.Builder, status operatorapi.Status) {
	leader := status.Leader
	if leader == "" {
		leader = "unknown"
	}
	fmt.Fprintf(text, "leader\t%s\n", leader)
	fmt.Fprintf(text, "told by\t%s, %s, serves users: %v\n", status.Node, status.Role, status.ServesUsers)
	for _, name := range slices.Sorted(maps.Keys(status.Versions)) {
		fmt.Fprintf(text, "version\t%s %s\n", name, status.Versions[name])
	}
	for _, name := range slices.Sorted(maps.Keys(status.Standbys)) {
		fmt.Fprintf(text, "standby\t%s %s\n", name, standbyText(status.Standbys[name]))
	}
}

// standbyText returns a controller's part in the warm standby on one line.
func standbyText(s *replication.Status) string {
	text := fmt.Sprintf("%s, term %d, change %d", s.State, s.Term, s.Sequence)
	if s.Followers == nil {
		text += fmt.Sprintf(", lacks %d, heard %s ago, %d snapshots, dropped %d times", s.LagChanges,
			s.LagTime.Round(time.Millisecond), s.Snapshots, s.Gaps+s.Mismatches)
	}
	for _, follower := range slices.Sorted(maps.Keys(s.Followers)) {
		text += fmt.Sprintf(", %s lacks %d", follower, s.Followers[follower])
	}
	if s.Log != "off" {
		text += ", decision log " + s.Log
	}
	if t := s.LastTakeover; t != nil {
		text += fmt.Sprintf(", last takeover: term %d, warm %v, first start after %s", t.Term, t.Warm,
			t.Phases[standby.FirstStart.String()].Round(time.Millisecond))
	}
	return text
}

// writePools writes the term, the recovery, the number of jobs, and the table of the machines by pool.
func writePools(text *strings.Builder, leading *core.Status) {
	fmt.Fprintf(text, "term\t%d\n", leading.Term)
	fmt.Fprintf(text, "recovery\t%s\n", recoveryText(&leading.Recovery))
	fmt.Fprintf(text, "jobs\t%d active, %d waiting, %d starts not yet stored\n",
		leading.Active, leading.Waits, leading.Unstored)
	fmt.Fprintln(text, "\nTYPE\tZONE\tKIND\tMACHINES\tDRAINING\tATTEMPTS")
	for _, pool := range leading.Pools {
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		var states []string
		for state, count := range pool.States {
			states = append(states, fmt.Sprintf("%d %s", count, state))
		}
		slices.Sort(states)
		fmt.Fprintf(text, "%s\t%s\t%s\t%s\t%d\t%d\n",
			pool.Type, pool.Zone, kind, strings.Join(states, ", "), pool.Draining, pool.Attempts)
	}
}

// writeWaiting writes the table of the waiting jobs, with the reason, and the table of how long jobs waited
// for their start, by team and class.
func writeWaiting(text *strings.Builder, leading *core.Status) {
	if len(leading.Waiting) > 0 {
		fmt.Fprintln(text, "\nJOB\tCLASS\tTEAM\tWAITING\tFOR\tREASON")
	}
	for _, job := range leading.Waiting {
		fmt.Fprintf(text, "%s\t%s\t%s\t%d of %d\t%s\t%s\n",
			job.Ref, job.Class, job.Team, job.Waiting, job.Tasks, job.Since.Round(time.Second), job.Reason)
	}
	for i, class := range leading.Starts {
		if i == 0 {
			fmt.Fprintln(text, "\nTEAM\tCLASS\tJOBS STARTED\tMEAN WAIT\tLONGEST")
		}
		fmt.Fprintf(text, "%s\t%s\t%d\t%s\t%s\n",
			class.Team, class.Class, class.Jobs, class.Mean.Round(time.Millisecond), class.Max.Round(time.Millisecond))
	}
	if more := leading.Waits - len(leading.Waiting); more > 0 {
		fmt.Fprintf(text, "and %d more\n", more)
	}
}
