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

// Run prints how often and in which ways the machines' heartbeats differed from the stored records in this
// term, and which machines aren't reconciled yet. It changes nothing.
func (c *differencesCmd) Run() error {
	leader, err := c.leaderStatus()
	if err != nil {
		return err
	}
	return printTable(os.Stdout, differencesText(leader.Term, &leader.Recovery))
}

// differencesText returns the tables of a recovery's status, with cells separated by tabs.
func differencesText(term uint64, status *recovery.Status) string {
	var text strings.Builder
	fmt.Fprintf(&text, "term\t%d, begun %s ago\n", term, status.Since.Round(time.Second))
	fmt.Fprintf(&text, "recovery\t%s\n", recoveryText(status))
	for _, state := range slices.Sorted(maps.Keys(status.Machines)) {
		fmt.Fprintf(&text, "machines\t%d %s\n", status.Machines[state], state)
	}
	fmt.Fprintln(&text, "\nFOUND\tTIMES")
	for _, reason := range slices.Sorted(maps.Keys(status.Findings)) {
		fmt.Fprintf(&text, "%s\t%d\n", reason, status.Findings[reason])
	}
	if len(status.Unsettled) > 0 {
		fmt.Fprintln(&text, "\nMACHINE\tSTATE\tLAST DIFFERENCE")
	}
	for _, machine := range status.Unsettled {
		fmt.Fprintf(&text, "%s\t%s\t%s\n", machine.Machine, machine.State, machine.LastDifference)
	}
	return text.String()
}

// recoveryText returns the state of a recovery on one line.
func recoveryText(status *recovery.Status) string {
	text := status.State
	if status.Took > 0 {
		text += fmt.Sprintf(", after %s", status.Took.Round(time.Millisecond))
	}
	if status.Pace > 0 {
		text += fmt.Sprintf(", at most %.1f starts of bulk work a second", status.Pace)
	}
	if status.Restored {
		text += ", the state service was restored from an older copy"
	}
	return text
}
