package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/core"
	"gingertally/internal/daemon"
)

type statusCmd struct {
	serverFlag
	JSON bool `name:"json" help:"Print JSON as the controller sends it."`
}

// statusTimeout leaves the node asked time to ask the leader.
const statusTimeout = 3 * time.Second

func (c *statusCmd) Run() error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+c.Server+"/statusz", statusTimeout)
	switch {
	case err != nil:
		return exitError{fmt.Errorf("%s: %w", c.Server, err), exitGaveUp}
	case code != 200:
		return exitError{fmt.Errorf("%s: status %d", c.Server, code), exitGaveUp}
	}
	if c.JSON {
		_, err := fmt.Println(string(body))
		return err
	}
	var s daemon.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("%s: %w", c.Server, err)
	}
	return printStatus(os.Stdout, s)
}

// printStatus prints the status as aligned tables.
func printStatus(out io.Writer, s daemon.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(w, statusText(s)); err != nil {
		return err
	}
	return w.Flush()
}

// statusText is the status with cells set off by tabs.
func statusText(s daemon.Status) string {
	var text strings.Builder
	writeNodes(&text, s)
	if s.Leading == nil {
		fmt.Fprintln(&text, "\nThe leader can't be asked.")
		return text.String()
	}
	writePools(&text, s.Leading)
	writeWaiting(&text, s.Leading)
	return text.String()
}

// writeNodes tells of the controllers.
func writeNodes(text *strings.Builder, s daemon.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "unknown"
	}
	fmt.Fprintf(text, "leader\t%s\n", leader)
	fmt.Fprintf(text, "told by\t%s, %s, serves users: %v\n", s.Node, s.Role, s.Serves)
	for _, name := range slices.Sorted(maps.Keys(s.Versions)) {
		fmt.Fprintf(text, "version\t%s %s\n", name, s.Versions[name])
	}
}

// writePools tells of the machines by pool.
func writePools(text *strings.Builder, leading *core.Status) {
	fmt.Fprintf(text, "term\t%d\n", leading.Term)
	fmt.Fprintf(text, "jobs\t%d active, %d waiting, %d starts not yet stored\n", leading.Active, leading.Waits, leading.Unstored)
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
		sort.Strings(states)
		fmt.Fprintf(text, "%s\t%s\t%s\t%s\t%d\t%d\n", pool.Type, pool.Zone, kind, strings.Join(states, ", "), pool.Draining, pool.Attempts)
	}
}

// writeWaiting tells which jobs wait, and why.
func writeWaiting(text *strings.Builder, leading *core.Status) {
	if len(leading.Waiting) > 0 {
		fmt.Fprintln(text, "\nJOB\tCLASS\tTEAM\tWAITING\tFOR\tREASON")
	}
	for _, job := range leading.Waiting {
		fmt.Fprintf(text, "%s\t%s\t%s\t%d of %d\t%s\t%s\n", job.Ref, job.Class, job.Team, job.Waiting, job.Tasks, job.Since.Round(time.Second), job.Reason)
	}
	if more := leading.Waits - len(leading.Waiting); more > 0 {
		fmt.Fprintf(text, "and %d more\n", more)
	}
}
