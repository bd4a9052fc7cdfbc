package controller

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/client"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/wire"
)

// Requests of a term that the tests hold back at the state service.
const (
	watchRequest    = "/follow"          // a watch
	firstRecordList = "/store?starts=j/" // the first list of a term that reads its records
	lastRecordList  = "/store?starts=i/" // the last one
)

// overlap is a controller that has claimed a term while the state service still holds a request of its
// former one.
type overlap struct {
	claimed        leadership.Term // the present term
	releaseRecords func()          // lets the present term read its records
	releaseWatch   func()          // answers the former term's watch
}

// leadAgain makes a controller that leads in its first term lose its lease and claim the next. It
// returns while the former term's watch isn't answered, and the present term waits for its records.
func leadAgain(t *testing.T, store *fakeStore) overlap {
	t.Helper()
	releaseWatch := store.block(t, watchRequest)
	eventually(t, "the former term's watch waits", func() bool { return store.waiting(watchRequest) > 0 })
	releaseRecords := store.block(t, firstRecordList)
	store.expireLeases()
	eventually(t, "the next term reads its records", func() bool { return store.waiting(firstRecordList) > 0 })
	claimed := leadership.Term{Number: 2, Revision: store.revisionOf(leadership.TermKey)}
	return overlap{claimed, releaseRecords, releaseWatch}
}

// startLeader starts a controller that leads in its first term and has answered its one worker.
func startLeader(t *testing.T) (*fakeStore, runningController, *worker) {
	t.Helper()
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	controller := leaderFirst(t, startControllers(t, store, "n-1"))[0]
	work := &worker{addrs: []string{controller.addr}, tasks: map[string]map[string]any{}}
	work.awaitTerm(t, 1)
	return store, controller, work
}

// submitJob submits the job j-1, and returns the user's client.
func submitJob(t *testing.T, controller runningController) *client.Client {
	t.Helper()
	user := &client.Client{Addr: controller.addr}
	if _, err := user.Submit(t.Context(), jobJSON("j-1")); err != nil {
		t.Fatal(err)
	}
	return user
}

// awaitTerm waits until a leader answers the worker in a term or a later one.
func (w *worker) awaitTerm(t *testing.T, number uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("term %d or a later one answers the worker", number), func() bool {
		return w.sendHeartbeat(t) == fasthttp.StatusOK && w.fencingToken >= number
	})
}

// Guards against ran_twice: a term that is over sent workers its starts while its controller, which
// had claimed again, was still reading the records of the next term.
func TestFormerTermAnswersNoWorker(t *testing.T) {
	store, controller, work := startLeader(t)
	submitJob(t, controller)
	eventually(t, "the start is recorded", func() bool { return store.holdsPrefix("s/") })
	overlap := leadAgain(t, store)
	if status := work.sendHeartbeat(t); status == fasthttp.StatusOK {
		t.Errorf("answered a heartbeat with fencing token %d before the next term had read its records; tasks: %v",
			work.fencingToken, work.tasks)
	}
	overlap.releaseRecords()
	work.awaitTerm(t, overlap.claimed.Number)
}

// Guards against went_back: a term that is over told users that a job was running, after another
// leader had ended the job, while its controller, which had claimed again, was still reading the
// records of the next term.
func TestFormerTermAnswersNoUser(t *testing.T) {
	store, controller, work := startLeader(t)
	user := submitJob(t, controller)
	eventually(t, "the job is running", func() bool {
		work.sendHeartbeat(t)
		answer, err := user.Get(t.Context(), "j-1")
		return err == nil && answer.Status == wire.StatusRunning
	})
	overlap := leadAgain(t, store)
	storeJobDone(t, controller, overlap.claimed, "j-1")
	if answer, err := user.Get(t.Context(), "j-1"); err != nil || answer.Status != wire.StatusDone {
		t.Errorf("a job that the state service holds as done: %+v, %v", answer, err)
	}
	overlap.releaseRecords()
	work.awaitTerm(t, overlap.claimed.Number)
	if answer, err := user.Get(t.Context(), "j-1"); err != nil || answer.Status != wire.StatusDone {
		t.Errorf("after the takeover: %+v, %v", answer, err)
	}
}

// Guards against a leader that serves nobody: the takeover of a term that was over took the place of
// the present term, which then answered neither workers nor users until it resigned.
func TestFormerTakeoverDisplacesNoTerm(t *testing.T) {
	store, _, work := startLeader(t)
	releaseFormer := store.block(t, lastRecordList)
	store.expireLeases()
	eventually(t, "the second term reads its records", func() bool { return store.waiting(lastRecordList) > 0 })
	store.passFromNowOn(lastRecordList)
	store.expireLeases()
	work.awaitTerm(t, 3)
	releaseFormer()
	time.Sleep(300 * time.Millisecond) // for the former takeover to be over
	for end := time.Now().Add(2 * time.Second); work.sendHeartbeat(t) != fasthttp.StatusOK; {
		if time.Now().After(end) {
			t.Fatal("the leader answers no heartbeat since the takeover of its former term")
		}
	}
}

// Guards against alarms about a missing leader: the end of a term that was over made the metrics say
// that the controller didn't lead, for the whole of its present term.
func TestFormerTermLeavesTheMetrics(t *testing.T) {
	store, controller, work := startLeader(t)
	overlap := leadAgain(t, store)
	overlap.releaseRecords()
	work.awaitTerm(t, overlap.claimed.Number)
	overlap.releaseWatch()
	time.Sleep(300 * time.Millisecond) // for the former term to end
	_, body, err := fasthttp.Get(nil, "http://"+controller.addr+metricsPath)
	if err != nil || !bytes.Contains(body, []byte("\ngingertally_leading 1\n")) {
		t.Errorf("the metrics don't say that the controller leads: %v", err)
	}
}

// storeJobDone stores under a term that a job is done, as the term's leader does.
func storeJobDone(t *testing.T, controller runningController, claimed leadership.Term, ref string) {
	t.Helper()
	state, err := controller.userJobs.Load(t.Context(), ref)
	if err != nil {
		t.Fatal(err)
	}
	done := core.PutFinal{Ref: ref, Version: state.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 1}}
	if _, err := controller.leaderJobs.Apply(t.Context(), claimed, []core.Write{done}); err != nil {
		t.Fatal(err)
	}
}
