// Command surge measures admission control under overload, with two failures of the leader. It
// simulates teams at many times the normal load, without and with admission control, or runs real
// controllers on loopback. It prints, by team and class, the due and the admitted share of the
// capacity and how long jobs waited, and writes a page with plots. On loopback it prints jobs and
// waits by team, without shares.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/surge"
	"gingertally/tools/plots"
)

// options are the command-line options.
type options struct {
	Times  float64       `default:"10" help:"Load of bulk work, in what is normal."`
	Length time.Duration `default:"30m" help:"Simulated time."`
	Seed   uint64        `default:"1" help:"Of the choices."`
	Window time.Duration `default:"2m" help:"Over which shares are held against what is due."`
	Page   string        `help:"File for the page with plots (HTML)."`

	Loopback bool   `help:"Play real controllers on loopback instead, in real time."`
	Binary   string `default:"target/gingertally" help:"The controller's program, on loopback."`
	Without  bool   `help:"On loopback: without admission control."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Plays teams under overload and measures shares and waits."))
	measure := runSimulations
	if o.Loopback {
		measure = runLoopback
	}
	if err := measure(o); err != nil {
		fmt.Fprintln(os.Stderr, "surge:", err)
		os.Exit(1)
	}
}

// runSimulations simulates the load without and with admission control. It returns an error if a
// rule was violated.
func runSimulations(o options) error {
	var charts []plots.Chart
	violations := 0
	for _, withAdmission := range []bool{false, true} {
		world := surge.NoisyNeighbour(o.Seed, o.Times)
		world.Length, world.Admission = o.Length, withAdmission
		world.Faults = []surge.Fault{{From: o.Length / 3, LeaderFails: true}, {From: o.Length * 2 / 3, LeaderFails: true}}
		result := surge.New(world).Run()
		report(o, result)
		violations += len(result.Violations)
		charts = append(charts, waitsChart(result), sharesChart(result))
	}
	if o.Page != "" {
		if err := plots.WritePage(o.Page, charts); err != nil {
			return fmt.Errorf("write the plots to %s: %w", o.Page, err)
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d rules were broken", violations)
	}
	return nil
}

// title returns the part of a title that says whether admission control was enabled.
func title(result *surge.Result) string {
	if result.Options.Admission {
		return "with admission control"
	}
	return "without"
}

// report prints the results of each class.
func report(o options, result *surge.Result) {
	fmt.Printf("\n%s: %g times the normal bulk load, %s, seed %d, %d policies stored, %d rules broken\n",
		title(result), o.Times, o.Length, o.Seed, result.Policies(), len(result.Violations))
	fmt.Printf("%-10s %-10s %8s %8s %8s  %6s %6s %6s  %10s %10s %10s %10s\n",
		"team", "class", "offered", "admitted", "gave up", "due", "got", "gap", "wait p50", "p90", "max", "admission")
	for _, c := range result.Classes(o.Window) {
		fmt.Printf("%-10s %-10s %8d %8d %8d  %6.3f %6.3f %6.3f  %10s %10s %10s %10s\n",
			c.Class.Team, c.Class.Name, c.Offered, c.Admitted, c.GaveUp, c.Due, c.Share, c.LargestGap,
			tenths(c.WaitP50), tenths(c.WaitP90), tenths(c.WaitMax), tenths(c.AdmissionMax))
	}
	fmt.Printf("until all controllers applied a new policy: at the most %s\n", result.LongestPropagation())
	for _, violation := range result.Violations {
		fmt.Println(" ", violation)
	}
}

// tenths rounds a time to tenths of a second.
func tenths(d time.Duration) time.Duration { return d.Round(time.Second / 10) }

// waitsChart returns a chart of how long the jobs of each class waited.
func waitsChart(result *surge.Result) plots.Chart {
	chart := plots.Chart{Title: "Waits " + title(result), Subtitle: "from the first submission to the first start",
		X: "percentile", Y: "ms", Lines: map[string][]plots.Point{}}
	for i, c := range result.Options.Classes {
		chart.Lines[c.Team+" "+c.Name] = plots.Percentiles(result.Waits(i))
	}
	return chart
}

// samplesPerPoint is the number of samples that are averaged for a point of a line of shares.
const samplesPerPoint = 30

// sharesChart returns a chart of the fraction of the capacity that was admitted of each class over
// time.
func sharesChart(result *surge.Result) plots.Chart {
	chart := plots.Chart{Title: "Admitted " + title(result), Subtitle: "part of the capacity",
		X: "minutes", Y: "part", Lines: map[string][]plots.Point{}}
	for i, c := range result.Options.Classes {
		var points []plots.Point
		sum := 0.0
		for k, s := range result.Samples {
			sum += s.Admitted[i]
			if (k+1)%samplesPerPoint == 0 {
				points = append(points, plots.Point{s.At.Minutes(), sum / samplesPerPoint})
				sum = 0
			}
		}
		chart.Lines[c.Team+" "+c.Name] = points
	}
	return chart
}
