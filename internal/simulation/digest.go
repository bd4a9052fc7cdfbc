package simulation

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// digest sums up a run: every event of the world, every event and effect of the controllers' engines, and every message
// to and from workers. Runs of one seed have the same digest, or else the world or the engine depends on something
// besides the seed.
type digest struct {
	sum  hash.Hash64
	line func(text string) // if set, gets what is summed up, to find where two runs part
}

func newDigest() *digest { return &digest{sum: fnv.New64a()} }

// add takes in one thing that happened; a nil digest takes in nothing.
func (d *digest) add(w *World, kind, who string, what any) {
	if d == nil {
		return
	}
	body, err := json.Marshal(what)
	if err != nil {
		body = fmt.Append(nil, "no JSON: ", err)
		w.checker.fail("the digest can't take in a %s: %v", kind, err)
	}
	text := fmt.Sprintf("%d %s %s %T %s\n", w.elapsed(), kind, who, what, body)
	d.sum.Write([]byte(text))
	if d.line != nil {
		d.line(text)
	}
}

// summary is the digest so far.
func (d *digest) summary() uint64 { return d.sum.Sum64() }

// addStep takes in what an engine was brought and what it wanted done.
func (d *digest) addStep(n *node, ev core.Event, effects core.Effects) {
	if d == nil {
		return
	}
	if _, tick := ev.(core.Tick); !tick { // a tick brings nothing but the time
		d.add(n.w, "step", n.name, ev)
	}
	d.add(n.w, "effects", n.name, encodableEffects(effects))
}

// digestedEffects are an engine's effects in a form that can be encoded as JSON.
type digestedEffects struct {
	core.Effects
	Preempted []digestedAttempt // in place of the attempts themselves
}

// digestedAttempt is an attempt with the names of its machine and page in place of these: they
// refer back to the attempt, and a machine's map of attempts has keys that JSON doesn't know.
type digestedAttempt struct {
	*fleet.Attempt
	Machine string
	Page    string
}

func encodableEffects(effects core.Effects) digestedEffects {
	digested := digestedEffects{Effects: effects}
	for _, a := range effects.Preempted {
		attempt := digestedAttempt{Attempt: a}
		if a.Machine != nil {
			attempt.Machine = a.Machine.Name
		}
		if a.Page != nil {
			attempt.Page = a.Page.Name
		}
		digested.Preempted = append(digested.Preempted, attempt)
	}
	return digested
}
