package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gingertally/internal/recovery"
)

type differencesCmd struct {
	serverFlag
}

// Run prints how the heartbeats of the machines differed from the records in this term, and which
// machines aren't settled. It changes nothing.
func (c *differencesCmd) Run() error {
	status, err := fetchStatus(c.Server)
	if err != nil {
		return err
	}
	if status.Leading == nil {
		return exitError{fmt.Errorf("%s: the leader can't be asked", c.Server), exitGaveUp}
	}
	return printTable(os.Stdout, differencesText(status.Leading.Term, &status.Leading.Recovery))
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
