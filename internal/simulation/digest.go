package simulation

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// digest is a hash over a run: every event of the world, every event and effect of the controllers'
// engines, and every message to and from workers. Runs of one seed must have the same digest; if
// they differ, the world or the engine depends on something besides the seed.
type digest struct {
	sum  hash.Hash64
	line func(text string) // if set, is called with each hashed line, to find where two runs diverge
}

func newDigest() *digest { return &digest{sum: fnv.New64a()} }

// add hashes one thing that happened, with its time. It does nothing on a nil digest.
func (d *digest) add(w *World, kind, who string, what any) {
	if d == nil {
		return
	}
	body, err := json.Marshal(what)
	if err != nil {
		body = fmt.Append(nil, "no JSON: ", err)
		w.checker.fail("the digest can't encode a %s: %v", kind, err)
	}
	text := fmt.Sprintf("%d %s %s %T %s\n", w.elapsed(), kind, who, what, body)
	d.sum.Write([]byte(text))
	if d.line != nil {
		d.line(text)
	}
}

// summary returns the hash so far.
func (d *digest) summary() uint64 { return d.sum.Sum64() }

// addStep hashes an event that an engine handled and its effects.
func (d *digest) addStep(n *node, ev core.Event, effects core.Effects) {
	if d == nil {
		return
	}
	if _, tick := ev.(core.Tick); !tick { // a tick carries nothing but the time
		d.add(n.w, "step", n.name, ev)
	}
	d.add(n.w, "effects", n.name, encodableEffects(effects))
}

// digestedEffects are an engine's effects in a form that can be encoded as JSON.
type digestedEffects struct {
	core.Effects
	Preempted []digestedAttempt // in place of the attempts themselves
}

// digestedAttempt is an attempt with the names of its machine and page in place of the pointers.
// Machine and page refer back to the attempt, and a machine's map of attempts has keys that JSON
// can't encode.
type digestedAttempt struct {
	*fleet.Attempt
	Machine string
	Page    string
}

// encodableEffects converts an engine's effects for encoding as JSON.
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
