package operator

import (
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // the machines of controllers may lack time zone data

	"gingertally/internal/drain"
	"gingertally/internal/operator/operatorpb"
)

// Draining holds the settings of operators' drains.
type Draining struct {
	Enabled bool
	// Budgets holds the disruption budgets of teams and of single classes of a team.
	Budgets map[drain.Scope]drain.Budget
	// FinishWait is how long tasks without checkpoints are left to finish before they are evicted, where
	// no budget sets a wait of its own.
	FinishWait time.Duration
}

// Bounds of the settings of drains.
const (
	maxInterruptions  = 1_000_000
	minWindow         = time.Second
	maxWindow         = 31 * 24 * time.Hour
	minMaxUnavailable = 1
	maxFinishWait     = 7 * 24 * time.Hour
)

// draining validates the settings of drains and sets those that the file has.
func (c *checker) draining(message *operatorpb.Draining, target *Draining) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	c.duration("finish_wait", message.FinishWait, &target.FinishWait, 0, maxFinishWait)
	for _, budget := range message.Budgets {
		c.budget(budget, target)
	}
}

// budget validates one disruption budget and adds it to target.
func (c *checker) budget(message *operatorpb.DisruptionBudget, target *Draining) {
	scope := drain.Scope{Team: message.GetTeam(), Class: message.GetClass()}
	line := c.valueLine(scope.Team, "budgets")
	if scope.Class != "" {
		line = c.valueLine(scope.Class, "budgets")
	}
	_, duplicate := target.Budgets[scope]
	switch {
	case !slices.Contains(c.teams, scope.Team):
		c.failAt(line, "budgets", "unknown team %q", scope.Team)
		return
	case duplicate:
		c.failAt(line, "budgets", "two budgets of %s", scope)
		return
	case (message.WindowInterruptions == nil) != (message.Window == nil):
		c.failAt(line, "window", "of %s: window_interruptions and window must be set together", scope)
		return
	}
	budget := drain.NewBudget()
	c.limit("task_interruptions", message.TaskInterruptions, &budget.TaskInterruptions, 0)
	c.limit("window_interruptions", message.WindowInterruptions, &budget.WindowInterruptions, 0)
	c.limit("max_unavailable", message.MaxUnavailable, &budget.MaxUnavailable, minMaxUnavailable)
	c.duration("window", message.Window, &budget.Window, minWindow, maxWindow)
	c.duration("finish_wait", message.FinishWait, &budget.FinishWait, 0, maxFinishWait)
	for _, window := range message.Closed {
		budget.Closed = append(budget.Closed, c.closedWindow(window))
	}
	if target.Budgets == nil {
		target.Budgets = map[drain.Scope]drain.Budget{}
	}
	target.Budgets[scope] = budget
}

// limit validates a limit on interruptions or tasks and stores it in target, unless value is nil.
func (c *checker) limit(field string, value *uint32, target *int, low float64) {
	if value != nil {
		*target = int(c.number(field, float64(*value), low, maxInterruptions))
	}
}

// weekdays holds the names of days in the settings, indexed by time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// closedWindow validates and converts a daily window in which a budget allows no interruption. A window
// without days begins on every day.
func (c *checker) closedWindow(message *operatorpb.ClosedWindow) drain.ClosedWindow {
	window := drain.ClosedWindow{From: c.timeOfDay("from", message.GetFrom()), To: c.timeOfDay("to", message.GetTo())}
	if len(message.Days) == 0 {
		for i := range window.Days {
			window.Days[i] = true
		}
	}
	for _, day := range message.Days {
		at := slices.Index(weekdays, strings.ToLower(day))
		if at < 0 {
			c.failAt(c.valueLine(day, "days"), "days", "unknown day %q; days are %s", day, strings.Join(weekdays, ", "))
			continue
		}
		window.Days[at] = true
	}
	zone := message.GetTimeZone()
	location, err := time.LoadLocation(zone)
	if err != nil {
		c.failAt(c.valueLine(zone, "time_zone"), "time_zone", "unknown time zone %q", zone)
		location = time.UTC
	}
	window.Location = location
	return window
}

// timeOfDay parses a time of day such as "09:30" and returns the time since midnight; "24:00" is the
// end of the day.
func (c *checker) timeOfDay(field, text string) time.Duration {
	hours, minutes, ok := strings.Cut(text, ":")
	hour, hourErr := strconv.ParseUint(hours, 10, 8)
	minute, minuteErr := strconv.ParseUint(minutes, 10, 8)
	at := time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute
	if !ok || hourErr != nil || minuteErr != nil || minute > 59 || at > 24*time.Hour {
		c.failAt(c.valueLine(text, field), field, "must be a time of day such as \"09:30\", is %q", text)
		return 0
	}
	return at
}

// Policy returns the settings in the core's form, or nil if drains are off. Skew is the largest error of a
// controller's clock.
func (d *Draining) Policy(skew time.Duration) *drain.Policy {
	if !d.Enabled {
		return nil
	}
	return &drain.Policy{Budgets: d.Budgets, FinishWait: d.FinishWait, Skew: skew}
}
