package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"net/http"

	"gingertally/internal/agentapi"
	"gingertally/internal/cloud"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

// outputDigest is a hash over everything that the controllers of a world store and send, in encoded
// form and with the simulated time. Unlike digest it doesn't depend on the names of Go types or
// fields: two versions of the program that behave alike have equal output digests, whatever their
// code looks like. The methods that add outputs do nothing on a nil digest.
type outputDigest struct {
	sum    hash.Hash
	counts map[outputKind]int
	// line, if set, is called with each hashed line, to find where two runs first differ.
	line func(text string)
	// tamper, if set, changes an output before it is hashed, to show that the digest depends
	// on it.
	tamper func(kind outputKind, body []byte) []byte
}

// outputKind is the kind of an output; it is part of the hashed text.
type outputKind string

// Kinds of output.
const (
	outputPut           outputKind = "put"
	outputDelete        outputKind = "delete"
	outputWorkerAnswer  outputKind = "worker answer"
	outputDirectCommand outputKind = "direct command"
	outputScaleOut      outputKind = "scale out"
	outputScaleIn       outputKind = "scale in"
	outputUserAnswer    outputKind = "user answer"
)

// outputKinds are all kinds of output.
var outputKinds = []outputKind{
	outputPut, outputDelete, outputWorkerAnswer, outputDirectCommand, outputScaleOut, outputScaleIn, outputUserAnswer,
}

func newOutputDigest() *outputDigest {
	return &outputDigest{sum: sha256.New(), counts: map[outputKind]int{}}
}

// add hashes one output. The subject is the key, machine, node or job that it is about.
func (d *outputDigest) add(w *World, kind outputKind, subject string, body []byte) {
	if d == nil {
		return
	}
	if d.tamper != nil {
		body = d.tamper(kind, body)
	}
	d.counts[kind]++
	text := fmt.Sprintf("%d %s %s %x\n", w.elapsed(), kind, subject, body)
	_, _ = d.sum.Write([]byte(text)) // a hash never fails
	if d.line != nil {
		d.line(text)
	}
}

// summaryBytes is how many bytes of the hash a summary contains.
const summaryBytes = 16

// summary returns the beginning of the hash so far, in hexadecimal.
func (d *outputDigest) summary() string {
	return hex.EncodeToString(d.sum.Sum(nil)[:summaryBytes])
}

// commit adds the changes of a committed transaction.
func (d *outputDigest) commit(w *World, changes []statestore.Op) {
	for _, c := range changes {
		if c.Delete {
			d.add(w, outputDelete, c.Key, nil)
			continue
		}
		d.add(w, outputPut, c.Key, c.Value)
	}
}

// workerAnswer adds a controller's answer to a worker's heartbeat, unless the answer is held back
// (statusHeld).
func (d *outputDigest) workerAnswer(n *node, machine string, decided heartbeatAnswer) {
	if d == nil || decided.held() {
		return
	}
	answer := agentapi.Answer{Status: decided.status}
	switch {
	case decided.status == http.StatusOK:
		answer = agentapi.AcceptedAnswer(decided.response)
	case decided.redirects():
		answer = agentapi.RedirectAnswer(decided.leader.name)
	}
	d.add(n.w, outputWorkerAnswer, fmt.Sprintf("%s from %s, %d", machine, n.name, answer.Status), answer.Body)
}

// directCommands adds commands that a controller sends to a worker directly.
func (d *outputDigest) directCommands(n *node, direct core.DirectCommands) {
	if d == nil {
		return
	}
	d.add(n.w, outputDirectCommand, direct.Machine, agentapi.DirectCommandsBody(direct))
}

// scaleOut adds a request to the cloud for machines.
func (d *outputDigest) scaleOut(n *node, request core.ScaleOut) {
	if d == nil {
		return
	}
	d.add(n.w, outputScaleOut, n.name, cloud.ScaleOutBody(request))
}

// scaleIn adds a request to the cloud to release machines.
func (d *outputDigest) scaleIn(n *node, machines []string) {
	if d == nil {
		return
	}
	d.add(n.w, outputScaleIn, n.name, cloud.ScaleInBody(machines))
}

// jobView adds a controller's answer to a query about a job. Available is false if the controller can't
// answer; known is false if the job doesn't exist.
func (d *outputDigest) jobView(n *node, ref string, view core.JobView, known, available bool) {
	if d == nil {
		return
	}
	answer := userapi.JobStateAnswer(ref, view)
	switch {
	case !available:
		answer = userapi.Answer{Status: http.StatusServiceUnavailable}
	case !known:
		answer = userapi.Answer{Status: http.StatusNotFound}
	}
	d.userAnswer(n, ref, answer)
}

// cancellation adds the answer to a cancellation.
func (d *outputDigest) cancellation(n *node, ref string, phase pipeline.Phase) {
	if d == nil {
		return
	}
	d.userAnswer(n, ref, userapi.Answer{Status: http.StatusOK, Body: wire.StatusOf(phase, 0)})
}

// userAnswer adds an answer to a user's call.
func (d *outputDigest) userAnswer(n *node, ref string, answer userapi.Answer) {
	if d == nil {
		return
	}
	var body []byte
	if answer.Body != nil {
		body = codec.MustMarshal(answer.Body)
	}
	d.add(n.w, outputUserAnswer, fmt.Sprintf("%s from %s, %d, %s", ref, n.name, answer.Status, answer.RetryAfter), body)
}
