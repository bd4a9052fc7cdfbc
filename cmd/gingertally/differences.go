package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/daemon"
	"gingertally/internal/recovery"
)

type differencesCmd struct {
	serverFlag
}

// Run prints how the reports of the machines differed from the records in this term, and which
// machines aren't settled. It changes nothing.
func (c *differencesCmd) Run() error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+c.Server+daemon.StatusPath, statusTimeout)
	switch {
	case err != nil:
		return exitError{fmt.Errorf("%s: %w", c.Server, err), exitGaveUp}
	case code != fasthttp.StatusOK:
		return exitError{fmt.Errorf("%s: status %d", c.Server, code), exitGaveUp}
	}
	var status daemon.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return fmt.Errorf("%s: %w", c.Server, err)
	}
	if status.Leading == nil {
		return exitError{fmt.Errorf("%s: the leader can't be asked", c.Server), exitGaveUp}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(table, differencesText(status.Leading.Term, &status.Leading.Recovery)); err != nil {
		return err
	}
	return table.Flush()
}

// differencesText is the report with cells set off by tabs.
func differencesText(term uint64, s *recovery.Status) string {
	var text strings.Builder
	fmt.Fprintf(&text, "term\t%d, begun %s ago\n", term, s.Since.Round(time.Second))
	fmt.Fprintf(&text, "recovery\t%s\n", recoveryText(s))
	for _, state := range slices.Sorted(maps.Keys(s.Machines)) {
		fmt.Fprintf(&text, "machines\t%d %s\n", s.Machines[state], state)
	}
	fmt.Fprintln(&text, "\nFOUND\tTIMES")
	for _, reason := range slices.Sorted(maps.Keys(s.Findings)) {
		fmt.Fprintf(&text, "%s\t%d\n", reason, s.Findings[reason])
	}
	if len(s.Unsettled) > 0 {
		fmt.Fprintln(&text, "\nMACHINE\tSTATE\tLAST DIFFERENCE")
	}
	for _, m := range s.Unsettled {
		fmt.Fprintf(&text, "%s\t%s\t%s\n", m.Machine, m.State, m.Why)
	}
	return text.String()
}

// recoveryText is the state of a recovery in a line.
func recoveryText(s *recovery.Status) string {
	text := s.State
	if s.Took > 0 {
		text += fmt.Sprintf(", after %s", s.Took.Round(time.Millisecond))
	}
	if s.Pace > 0 {
		text += fmt.Sprintf(", at most %.1f starts of bulk work a second", s.Pace)
	}
	if s.Restored {
		text += ", the state service was restored from an older copy"
	}
	return text
}
