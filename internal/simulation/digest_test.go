package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
)

// runTrace holds the digest of a run and the lines that were hashed for it.
type runTrace struct {
	digest uint64
	lines  []string
}

// runTraced runs a world and returns its trace.
func runTraced(t *testing.T, w *World) runTrace {
	t.Helper()
	var tr runTrace
	w.digest = newDigest()
	w.digest.line = func(text string) { tr.lines = append(tr.lines, text) }
	if err := w.Run(); err != nil {
		t.Error(err)
	}
	tr.digest = w.digest.summary()
	return tr
}

// runTwice runs a world twice and compares the digests of the two runs.
func runTwice(t *testing.T, build func() *World) {
	t.Helper()
	first, second := runTraced(t, build()), runTraced(t, build())
	if len(first.lines) == 0 {
		t.Error("nothing was added to the digest")
	}
	if first.digest != second.digest {
		t.Errorf("two runs of one seed differ, first at\n%s", first.firstDifference(second))
	}
}

// firstDifference returns the first line at which two traces differ, from both, and the line before
// it.
func (tr runTrace) firstDifference(other runTrace) string {
	before := "the start\n"
	for i := range min(len(tr.lines), len(other.lines)) {
		if tr.lines[i] != other.lines[i] {
			return fmt.Sprintf("%s%safter %s", tr.lines[i], other.lines[i], before)
		}
		before = tr.lines[i]
	}
	return "the end of one: " + before
}

// TestSameSeedSameRun runs worlds of each family and of each fault scenario twice, and
// compares the digests of all events, effects and messages. It fails if a run depends on
// anything besides the seed, such as the iteration order of a map.
func TestSameSeedSameRun(t *testing.T) {
	for _, f := range families {
		for _, seed := range f.repeatedSeeds {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				runTwice(t, func() *World { return NewWorld(f.options(seed)) })
			})
		}
	}
	for i := range faultScenarios {
		m := &faultScenarios[i]
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			runTwice(t, func() *World {
				w := NewWorld(m.options(uint64(i)*100 + 1))
				m.script(newScript(w))
				return w
			})
		})
	}
}

// TestUsersCallsGoByTheWorldsTime checks that a submission is stored with the simulated time,
// and not with the wall-clock time of the host that runs the simulation.
func TestUsersCallsGoByTheWorldsTime(t *testing.T) {
	w := NewWorld(randomOptions(1, false))
	s := newScript(w)
	s.submitJob(time.Second, pipeline.Spec{Tasks: 1}, time.Minute)
	submitted := false
	s.at(20*time.Second, func() {
		n := w.nodes[0]
		body := submissionBody(&w.sortedJobs()[len(w.jobs)-1].spec)
		body["ref"] = probeJobRefs.ref(0)
		submitted = s.postSubmission(n, body).Status == http.StatusCreated
		st, err := n.jobs.Load(t.Context(), probeJobRefs.ref(0))
		if at := time.UnixMilli(st.Record.SubmittedMS); err != nil || !at.Equal(w.now.Truncate(time.Millisecond)) {
			t.Errorf("submitted at %s, stored as at %s (%v)", w.now, at, err)
		}
		w.queue = nil // ends the run: the check is done
	})
	_ = w.Run() // reports jobs that haven't ended, since the run ends early
	if !submitted {
		t.Error("nothing was submitted")
	}
}
