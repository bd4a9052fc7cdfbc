package operator

import (
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // controllers' machines may have no time zone data

	"gingertally/internal/drain"
	"gingertally/internal/operator/operatorpb"
)

// Draining are the settings of operators' drains.
type Draining struct {
	Enabled    bool
	Budgets    map[drain.Scope]drain.Budget
	FinishWait time.Duration // that work which doesn't save is left to finish where no budget says so
}

// Bounds of the settings of drains.
const (
	maxInterruptions  = 1_000_000
	minWindow         = time.Second
	maxWindow         = 31 * 24 * time.Hour
	minMaxUnavailable = 1
	maxFinishWait     = 7 * 24 * time.Hour
)

// draining checks the settings of drains and takes them over.
func (c *checker) draining(message *operatorpb.Draining, target *Draining, teams []string) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	c.duration("finish_wait", message.FinishWait, &target.FinishWait, 0, maxFinishWait)
	for _, b := range message.Budgets {
		c.budget(b, target, teams)
	}
}

// budget checks one budget and takes it over.
func (c *checker) budget(message *operatorpb.DisruptionBudget, target *Draining, teams []string) {
	scope := drain.Scope{Team: message.GetTeam(), Class: message.GetClass()}
	line := c.lineOf(strconv.Quote(scope.Team), "budgets")
	if scope.Class != "" {
		line = c.lineOf(strconv.Quote(scope.Class), "budgets")
	}
	_, twice := target.Budgets[scope]
	switch {
	case !slices.Contains(teams, scope.Team):
		c.failAt(line, "budgets", "unknown team %q", scope.Team)
		return
	case twice:
		c.failAt(line, "budgets", "two budgets of %s", scope)
		return
	case (message.WindowInterruptions == nil) != (message.Window == nil):
		c.failAt(line, "window", "of %s: window_interruptions and window go together", scope)
		return
	}
	b := drain.NewBudget()
	c.limit("task_interruptions", message.TaskInterruptions, &b.TaskInterruptions, 0)
	c.limit("window_interruptions", message.WindowInterruptions, &b.WindowInterruptions, 0)
	c.limit("max_unavailable", message.MaxUnavailable, &b.MaxUnavailable, minMaxUnavailable)
	c.duration("window", message.Window, &b.Window, minWindow, maxWindow)
	c.duration("finish_wait", message.FinishWait, &b.FinishWait, 0, maxFinishWait)
	for _, w := range message.Closed {
		b.Closed = append(b.Closed, c.closedWindow(w))
	}
	if target.Budgets == nil {
		target.Budgets = map[drain.Scope]drain.Budget{}
	}
	target.Budgets[scope] = b
}

// limit checks a number of interruptions or tasks and takes it over, if it is set.
func (c *checker) limit(field string, value *uint32, target *int, low float64) {
	if value != nil {
		*target = int(c.number(field, float64(*value), low, maxInterruptions))
	}
}

// weekdays are the days as the settings name them.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// closedWindow checks a closed window.
func (c *checker) closedWindow(message *operatorpb.ClosedWindow) drain.ClosedWindow {
	w := drain.ClosedWindow{From: c.timeOfDay("from", message.GetFrom()), To: c.timeOfDay("to", message.GetTo())}
	if len(message.Days) == 0 {
		for i := range w.Days {
			w.Days[i] = true
		}
	}
	for _, day := range message.Days {
		at := slices.Index(weekdays, strings.ToLower(day))
		if at < 0 {
			c.failAt(c.lineOf(strconv.Quote(day), "days"), "days", "unknown day %q; days are %s", day, strings.Join(weekdays, ", "))
			continue
		}
		w.Days[at] = true
	}
	location, err := time.LoadLocation(message.GetTimeZone())
	if err != nil {
		c.failAt(c.lineOf(strconv.Quote(message.GetTimeZone()), "time_zone"), "time_zone", "unknown time zone %q", message.GetTimeZone())
		location = time.UTC
	}
	w.Location = location
	return w
}

// timeOfDay reads a time of day, as "09:30"; "24:00" is the end of the day.
func (c *checker) timeOfDay(field, text string) time.Duration {
	hours, minutes, ok := strings.Cut(text, ":")
	h, hourError := strconv.ParseUint(hours, 10, 8)
	m, minuteError := strconv.ParseUint(minutes, 10, 8)
	at := time.Duration(h)*time.Hour + time.Duration(m)*time.Minute
	if !ok || hourError != nil || minuteError != nil || m > 59 || at > 24*time.Hour {
		c.failAt(c.lineOf(strconv.Quote(text), field), field, "must be a time of day as \"09:30\", is %q", text)
		return 0
	}
	return at
}

// Policy is what the core needs of the settings; nil if drains are off. Skew bounds how far a
// controller's time of day is off.
func (d *Draining) Policy(skew time.Duration) *drain.Policy {
	if !d.Enabled {
		return nil
	}
	return &drain.Policy{Budgets: d.Budgets, FinishWait: d.FinishWait, Skew: skew}
}
