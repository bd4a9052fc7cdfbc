package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gingertally/internal/daemon"
)

type admissionCmd struct {
	serverFlag
	Team string `help:"Only this team."`
}

// Run prints which classes of jobs are refused now, and why.
func (c *admissionCmd) Run() error {
	status, err := fetchStatus(c.Server)
	if err != nil {
		return err
	}
	return printAdmission(os.Stdout, &status, c.Team)
}

// printAdmission prints the policy, and each class of a team, of all if none is named.
func printAdmission(out io.Writer, status *daemon.Status, team string) error {
	return printTable(out, admissionText(status, team))
}

// admissionText is the same with cells set off by tabs.
func admissionText(status *daemon.Status, team string) string {
	a := status.Admission
	if a == nil {
		return "admission control is off\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "policy\t%d of term %d, confirmed %s ago\n", a.Number, a.Term, a.Age.Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(status.Policies)) {
		fmt.Fprintf(&text, "applied by\t%s: %d\n", name, status.Policies[name])
	}
	fmt.Fprintf(&text, "overload\t%s\n", a.Reason)
	if a.Fallback {
		fmt.Fprintln(&text, "fallback\tthe policy is old; no leader was heard")
	}
	fmt.Fprintln(&text, "\nTEAM\tCLASS\tPRIORITY\tASKED\tDUE\tGOT\tTAKEN EACH POLICY\tOFFERED\tADMITTED\tREFUSED")
	for _, c := range a.Classes {
		if team == "" || c.Team == team {
			fmt.Fprintln(&text, classText(c))
		}
	}
	return text.String()
}

// classText is the line of a class.
func classText(c daemon.ClassDecision) string {
	fraction := "all"
	if c.Fraction < 1 {
		fraction = fmt.Sprintf("%.2f%%", 100*c.Fraction)
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d", c.Team, c.Class, c.Priority, partText(c.Asked), partText(c.Due), partText(c.Got),
		fraction, c.Offered, c.Admitted, c.Refused)
}

// partText is a part of the capacity in percent.
func partText(part float64) string {
	if part <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*part)
}
