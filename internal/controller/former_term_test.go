package controller

import (
	"testing"

	"github.com/valyala/fasthttp"

	"gingertally/internal/client"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/wire"
)

const (
	watchPath = "/follow" // of the state service's watches
	listPath  = "/store"  // of its lists, by which a new term reads the records
)

// leadAgain makes a controller that leads lose its lease and claim the next term. It returns while
// the former term waits for its watch and the next one for the lists of records. Both wait until the
// test ends, or until the lists are released.
func leadAgain(t *testing.T, store *fakeStore) (claimed leadership.Term, releaseLists func()) {
	t.Helper()
	store.block(t, watchPath)
	eventually(t, "the former term's watch waits", func() bool { return store.waiting(watchPath) > 0 })
	releaseLists = store.block(t, listPath)
	store.expireLeases()
	eventually(t, "the next term reads its records", func() bool { return store.waiting(listPath) > 0 })
	return leadership.Term{Number: 2, Revision: store.revisionOf(leadership.TermKey)}, releaseLists
}

// newTestWorker returns a worker that the controller has heard.
func newTestWorker(t *testing.T, controller runningController) *worker {
	t.Helper()
	work := &worker{addrs: []string{controller.addr}, tasks: map[string]map[string]any{}}
	eventually(t, "the worker has the leader's fencing token", func() bool {
		return work.sendHeartbeat(t) == fasthttp.StatusOK
	})
	return work
}

// Guards against ran_twice: a term that is over sent workers its starts while its controller, which
// had claimed again, was still reading the records of the next term.
func TestFormerTermAnswersNoWorker(t *testing.T) {
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	controller := leaderFirst(t, startControllers(t, store, "n-1"))[0]
	work := newTestWorker(t, controller)
	user := &client.Client{Addr: controller.addr}
	if _, err := user.Submit(t.Context(), jobJSON("j-1")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the start is recorded", func() bool { return store.holdsPrefix("s/") })
	_, releaseLists := leadAgain(t, store)
	if status := work.sendHeartbeat(t); status == fasthttp.StatusOK {
		t.Errorf("answered a heartbeat with fencing token %d before the next term had read its records; tasks: %v",
			work.fencingToken, work.tasks)
	}
	releaseLists()
	eventually(t, "the next term answers the worker", func() bool {
		return work.sendHeartbeat(t) == fasthttp.StatusOK && work.fencingToken == 2
	})
}

// Guards against went_back: a term that is over told users that a job was running, after another
// leader had ended the job, while its controller, which had claimed again, was still reading the
// records of the next term.
func TestFormerTermAnswersNoUser(t *testing.T) {
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	controller := leaderFirst(t, startControllers(t, store, "n-1"))[0]
	work := newTestWorker(t, controller)
	user := &client.Client{Addr: controller.addr}
	if _, err := user.Submit(t.Context(), jobJSON("j-1")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is running", func() bool {
		work.sendHeartbeat(t)
		answer, err := user.Get(t.Context(), "j-1")
		return err == nil && answer.Status == wire.StatusRunning
	})
	claimed, releaseLists := leadAgain(t, store)
	storeJobDone(t, controller, claimed, "j-1")
	if answer, err := user.Get(t.Context(), "j-1"); err != nil || answer.Status != wire.StatusDone {
		t.Errorf("a job that the state service holds as done: %+v, %v", answer, err)
	}
	releaseLists()
	eventually(t, "the next term answers the worker", func() bool {
		return work.sendHeartbeat(t) == fasthttp.StatusOK && work.fencingToken == claimed.Number
	})
	if answer, err := user.Get(t.Context(), "j-1"); err != nil || answer.Status != wire.StatusDone {
		t.Errorf("after the takeover: %+v, %v", answer, err)
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
