package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
)

type admissionCmd struct {
	serverFlag
	Team string `help:"Only this team."`
}

// Run prints the admission policy: which classes of jobs are refused now, and why.
func (c *admissionCmd) Run() error {
	status, err := c.status()
	if err != nil {
		return err
	}
	return printTable(os.Stdout, admissionText(&status, c.Team))
}

// admissionText returns a table of the admission policy and the classes of a team, with cells separated by
// tabs. An empty team stands for all teams.
func admissionText(status *operatorapi.Status, team string) string {
	policy := status.Admission
	if policy == nil {
		return "admission control is off\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "policy\t%d of term %d, confirmed %s ago\n",
		policy.Number, policy.Term, policy.Age.Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(status.Policies)) {
		fmt.Fprintf(&text, "applied by\t%s: %d\n", name, status.Policies[name])
	}
	fmt.Fprintf(&text, "overload\t%s\n", policy.Reason)
	if policy.Fallback {
		fmt.Fprintln(&text, "fallback\tthe policy is old; no leader was heard")
	}
	fmt.Fprintln(&text, "\nTEAM\tCLASS\tPRIORITY\tASKED\tDUE\tGOT\tTAKEN EACH POLICY\tOFFERED\tADMITTED\tREFUSED")
	for _, class := range policy.Classes {
		if team == "" || class.Team == team {
			fmt.Fprintln(&text, classText(class))
		}
	}
	return text.String()
}

// classText returns the table row of a class.
func classText(class overload.ClassStatus) string {
	fraction := "all"
	if class.Fraction < 1 {
		fraction = fmt.Sprintf("%.2f%%", 100*class.Fraction)
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d", class.Team, class.Class, class.Priority,
		shareText(class.Asked), shareText(class.Due), shareText(class.Got),
		fraction, class.Offered, class.Admitted, class.Refused)
}

// shareText formats a share of the capacity as a percentage.
func shareText(share float64) string {
	if share <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*share)
}
