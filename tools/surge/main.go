// Command surge measures admission control in simulated time: teams at many times the normal
// load for half an hour, with two failures of the leader, with admission control and without.
// It prints what share each team and class was due and got, and how long its jobs waited, and
// writes a page with plots.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/surge"
	"gingertally/tools/plots"
)

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
	play := run
	if o.Loopback {
		play = runLoopback
	}
	if err := play(o); err != nil {
		fmt.Fprintln(os.Stderr, "surge:", err)
		os.Exit(1)
	}
}

// run plays both worlds, and fails if a rule was broken.
func run(o options) error {
	var all []plots.Chart
	broken := 0
	for _, on := range []bool{false, true} {
		world := surge.Houses(o.Seed, o.Times)
		world.Length, world.Admission = o.Length, on
		world.Faults = []surge.Fault{{From: o.Length / 3, Leader: true}, {From: o.Length * 2 / 3, Leader: true}}
		result := surge.New(world).Run()
		report(o, result, on)
		broken += len(result.Broken)
		all = append(all, waits(result, on), shares(result, on))
	}
	if o.Page != "" {
		if err := plots.WritePage(o.Page, all); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d rules were broken", broken)
	}
	return nil
}

func title(on bool) string {
	if on {
		return "with admission control"
	}
	return "without"
}

// report prints what each class got.
func report(o options, result *surge.Result, on bool) {
	fmt.Printf("\n%s: %g times the normal bulk load, %s, seed %d, %d policies stored, %d rules broken\n", title(on), o.Times, o.Length, o.Seed, result.Policies(), len(result.Broken))
	fmt.Printf("%-10s %-10s %8s %8s %8s  %6s %6s %6s  %10s %10s %10s %10s\n", "team", "class", "offered", "admitted", "gave up", "due", "got", "gap", "wait p50", "p90", "max", "admission")
	for _, c := range result.Classes(o.Window) {
		fmt.Printf("%-10s %-10s %8d %8d %8d  %6.3f %6.3f %6.3f  %10s %10s %10s %10s\n", c.Class.Team, c.Class.Name, c.Offered, c.Admitted, c.GaveUp, c.Due, c.Got, c.LargestGap,
			c.WaitP50.Round(time.Second/10), c.WaitP90.Round(time.Second/10), c.WaitMax.Round(time.Second/10), c.TurnMax.Round(time.Second/10))
	}
	fmt.Printf("until all controllers applied a new policy: at the most %s\n", result.LongestSpread())
	for _, text := range result.Broken {
		fmt.Println(" ", text)
	}
}

// waits draws how long the jobs of each class waited.
func waits(result *surge.Result, on bool) plots.Chart {
	chart := plots.Chart{Title: "Waits " + title(on), Subtitle: "from the first submission to the first start", X: "percentile", Y: "ms", Lines: map[string][]plots.Point{}}
	for i, c := range result.Options.Classes {
		chart.Lines[c.Team+" "+c.Name] = plots.Percentiles(result.Waits(i))
	}
	return chart
}

// shareEvery is over how many samples a share is drawn.
const shareEvery = 30

// shares draws what part of the capacity each class was admitted.
func shares(result *surge.Result, on bool) plots.Chart {
	chart := plots.Chart{Title: "Admitted " + title(on), Subtitle: "part of the capacity", X: "minutes", Y: "part", Lines: map[string][]plots.Point{}}
	for i, c := range result.Options.Classes {
		var points []plots.Point
		sum := 0.0
		for k, s := range result.Samples {
			sum += s.Got[i]
			if (k+1)%shareEvery == 0 {
				points = append(points, plots.Point{s.At.Minutes(), sum / shareEvery})
				sum = 0
			}
		}
		chart.Lines[c.Team+" "+c.Name] = points
	}
	return chart
}
