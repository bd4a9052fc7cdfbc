package core

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// commands returns the commands for the answer to a machine's newest heartbeat: exits that the
// worker may forget, then stops, then starts.
func (e *Engine) commands(now time.Time, m *fleet.Machine) []fleet.Command {
	m.OneWayLoss.Expect(m.FencingToken() != e.numbers.term)
	if m.Empty() {
		return nil
	}
	var forgets, stops, starts []fleet.Command
	for _, a := range m.SortedAttempts() {
		c := fleet.Command{Ref: a.Ref, Task: a.Task, Attempt: a.Number}
		switch state := a.State(); {
		case state == fleet.Exited:
			if a.ExitHandled {
				c.Kind = fleet.Forget
				a.CommandSent()
				forgets = append(forgets, c)
			}
		case a.Eviction() == fleet.EvictionApproved:
			if e.sendEviction(now, m, a) {
				c.Kind, c.Grace = fleet.Stop, a.Grace()
				stops = append(stops, c)
			}
		case a.EvictionIgnored():
			// The worker didn't act on the eviction. It has to be approved again, since a window
			// may have closed meanwhile; what the budget was charged for it stands.
			a.ForgetEviction()
		case a.Stopping():
			if state == fleet.Checkpointing && a.Grace() > 0 {
				continue // a second stop could abort the checkpoint
			}
			c.Kind, c.Grace = fleet.Stop, a.Grace()
			a.CommandSent()
			stops = append(stops, c)
		case state == fleet.Recorded && e.startDue(now, m, a) && e.recovery.Pacer().Allow(e.urgent(a)):
			c.Kind = fleet.Start
			e.startSent(now, m, a)
			starts = append(starts, c)
		}
	}
	return append(append(forgets, stops...), starts...)
}

// startDue reports whether the start of a recorded attempt may be sent now.
func (*Engine) startDue(now time.Time, m *fleet.Machine, a *fleet.Attempt) bool {
	return !a.Inherited && m.StartBlock() == fleet.NotBlocked && !now.Before(a.NotBefore)
}

// urgent reports whether the limit on the rate of starts after a takeover doesn't apply to an
// attempt.
func (e *Engine) urgent(a *fleet.Attempt) bool {
	j := e.jobs.get(a.Ref)
	return j != nil && j.Urgency <= pipeline.High
}

// startSent records that an attempt's start is sent with the answer to the newest heartbeat.
func (e *Engine) startSent(now time.Time, m *fleet.Machine, a *fleet.Attempt) {
	a.CommandSent()
	if j := e.jobs.get(a.Ref); j != nil && !j.Started && !j.StartSent {
		j.StartSent = true
		e.waits.record(j, now.Sub(j.ReadyAt))
	}
	e.moveAttempt(now, m, a, fleet.Sent)
	imageGB := e.imageGB(a.Ref)
	cache, rate := e.catalog.ImageCache(m.Type)
	a.SentAt, a.FetchEstimate = now, m.FetchLeft(now, a.Image, imageGB, rate)
	m.UseImage(now, a.Image, imageGB, cache, rate)
	e.imagesChanged(m)
	e.debug(LogStartSent, logAttempt(a)...)
}

// imageGB returns the size of a job's image, 0 if the job isn't known.
func (e *Engine) imageGB(ref string) float64 {
	if j := e.jobs.get(ref); j != nil {
		return j.ImageGB
	}
	return 0
}
