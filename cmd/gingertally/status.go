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

func printStatus(out io.Writer, s daemon.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	leader := s.Leader
	if leader == "" {
		leader = "unknown"
	}
	fmt.Fprintf(w, "leader\t%s\n", leader)
	fmt.Fprintf(w, "told by\t%s, %s, serves users: %v\n", s.Node, s.Role, s.Serves)
	for _, name := range slices.Sorted(maps.Keys(s.Versions)) {
		fmt.Fprintf(w, "version\t%s %s\n", name, s.Versions[name])
	}
	l := s.Leading
	if l == nil {
		fmt.Fprintln(w, "\nThe leader can't be asked.")
		return w.Flush()
	}
	fmt.Fprintf(w, "term\t%d\n", l.Term)
	fmt.Fprintf(w, "jobs\t%d active, %d waiting, %d starts not yet stored\n", l.Active, l.Waits, l.Unstored)
	fmt.Fprintln(w, "\nTYPE\tZONE\tKIND\tMACHINES\tDRAINING\tATTEMPTS")
	for _, p := range l.Pools {
		kind := "ordinary"
		if p.Spot {
			kind = "spot"
		}
		var states []string
		for st, n := range p.States {
			states = append(states, fmt.Sprintf("%d %s", n, st))
		}
		sort.Strings(states)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", p.Type, p.Zone, kind, strings.Join(states, ", "), p.Draining, p.Attempts)
	}
	if len(l.Waiting) > 0 {
		fmt.Fprintln(w, "\nJOB\tCLASS\tTEAM\tWAITING\tFOR\tREASON")
	}
	for _, j := range l.Waiting {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\t%s\t%s\n", j.Ref, j.Class, j.Team, j.Waiting, j.Tasks, j.Since.Round(time.Second), j.Reason)
	}
	if more := l.Waits - len(l.Waiting); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	return w.Flush()
}
