package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// call makes a request to a handler, and decodes the answer if there is one.
func call(t *testing.T, handler fasthttp.RequestHandler, method, uri string, message, answer any) (status int) {
	t.Helper()
	var request fasthttp.RequestCtx
	request.Request.Header.SetMethod(method)
	request.Request.SetRequestURI("http://service" + uri)
	if message != nil {
		request.Request.SetBody(codec.MustMarshal(message))
	}
	handler(&request)
	if answer != nil {
		if err := codec.Unmarshal(request.Response.Body(), answer); err != nil {
			t.Fatalf("%s: %v", uri, err)
		}
	}
	return request.Response.StatusCode()
}

// put is a transaction that puts a key under a condition on its revision.
func put(key string, stamp, lease uint64) wire.Commit {
	return wire.Commit{
		If:    []wire.Condition{{Path: key, Stamp: stamp}},
		Apply: []wire.Change{{Put: key, V: codec.MustMarshal(1), Hold: lease}},
	}
}

// A transaction whose condition fails changes nothing and names the key: else two controllers could both become the
// leader.
func TestStateServiceCompareAndSwap(t *testing.T) {
	s := newStateService()
	var result wire.CommitResult
	if status := call(t, s.Handle, "POST", wire.CommitPath, put("a/b", 0, 0), &result); status != 200 || result.Ledger != 1 {
		t.Fatalf("first: %d, %+v", status, result)
	}
	status := call(t, s.Handle, "POST", wire.CommitPath, put("a/b", 0, 0), &result)
	if status != 409 || len(result.Failed) != 1 || result.Failed[0] != "a/b" || s.revision != 1 {
		t.Fatalf("second: %d, %+v", status, result)
	}
	if status := call(t, s.Handle, "POST", wire.CommitPath, put("c", 0, 7), nil); status != 400 {
		t.Fatalf("unknown lease: %d", status)
	}
	var page wire.StorePage
	call(t, s.Handle, "GET", wire.StorePath+"?starts=a/&most=5", nil, &page)
	if len(page.Rows) != 1 || page.Rows[0].Stamp != 1 || page.HasNext {
		t.Fatalf("list: %+v", page)
	}
}

// A lease that isn't renewed ends, and with it the keys that are attached to it, of which watches are told.
func TestStateServiceLeases(t *testing.T) {
	s := newStateService()
	var grant wire.LeaseGrant
	call(t, s.Handle, "POST", wire.LeasesPath, wire.LeaseRequest{LifeMS: 1000}, &grant)
	call(t, s.Handle, "POST", wire.CommitPath, put("leader", 0, grant.Hold), nil)
	leasePath := fmt.Sprintf("%s/%d", wire.LeasesPath, grant.Hold)
	if status := call(t, s.Handle, "POST", leasePath+wire.KeepAliveSuffix, nil, nil); status != 200 {
		t.Fatalf("keep-alive: %d", status)
	}
	s.endExpiredLeases(time.Now().Add(500 * time.Millisecond))
	if status := call(t, s.Handle, "GET", wire.StorePath+"/leader", nil, nil); status != 200 {
		t.Fatalf("before its time: %d", status)
	}
	s.endExpiredLeases(time.Now().Add(2 * time.Second))
	if status := call(t, s.Handle, "GET", wire.StorePath+"/leader", nil, nil); status != 404 {
		t.Fatalf("expired: %d", status)
	}
	if status := call(t, s.Handle, "POST", leasePath+wire.KeepAliveSuffix, nil, nil); status != 404 {
		t.Fatalf("keep-alive of an expired lease: %d", status)
	}
	var news wire.News
	call(t, s.Handle, "GET", wire.WatchPath+"?starts=lead&since=1", nil, &news)
	if len(news.News) != 1 || news.News[0].Drop != "leader" || news.News[0].Stamp != 2 || news.Ledger != 2 {
		t.Fatalf("watch: %+v", news)
	}
}

// A watch that reaches back further than changes are kept is told so, rather than of a part of them.
func TestStateServiceCompaction(t *testing.T) {
	s := newStateService()
	for range 2*keptEvents + 1 {
		s.apply([]change{{key: "a"}})
	}
	for since, want := range map[int]int{1: 410, keptEvents: 410, keptEvents + 1: 200, 2 * keptEvents: 200} {
		if status := call(t, s.Handle, "GET", fmt.Sprintf("%s?starts=a&since=%d", wire.WatchPath, since), nil, nil); status != want {
			t.Errorf("since %d: %d, want %d", since, status, want)
		}
	}
}

// A repeated request creates machines once, under the names that the first one got.
func TestCloudCreatesOnce(t *testing.T) {
	booted, deleted := 0, 0
	cloud := &Cloud{Zones: zones, Boot: func(string, string) { booted++ }, Delete: func(string) { deleted++ }}
	request := wire.RentalRequest{Hire: "r-1", Build: MachineType, Yard: "a", Count: 2}
	var first, again wire.Stalls
	call(t, cloud.Handle, "POST", wire.RentalsPath, request, &first)
	call(t, cloud.Handle, "POST", wire.RentalsPath, request, &again)
	if booted != 2 || len(again.Stalls) != 2 || first.Stalls[1] != again.Stalls[1] {
		t.Fatalf("%d booted, %v and %v", booted, first, again)
	}
	call(t, cloud.Handle, "POST", wire.ReleasePath, wire.Stalls{Stalls: []string{first.Stalls[0], "m-999999"}}, nil)
	if machines := cloud.Machines(); deleted != 1 || len(machines) != 1 || machines[0] != first.Stalls[1] {
		t.Fatalf("%d deleted, left %v", deleted, machines)
	}
	request = wire.RentalRequest{Hire: "r-2", Loaners: true, Count: 1}
	if status := call(t, cloud.Handle, "POST", wire.RentalsPath, request, nil); status != 503 {
		t.Fatalf("spot: %d", status)
	}
}

// testWorker is a worker that doesn't run: it is given its answers directly.
func testWorker(t *testing.T) *Worker {
	t.Helper()
	timings := Timings{Heartbeat: time.Second, Lease: time.Minute, RunTime: time.Hour}
	w := newWorker("m-000001", "a", timings, []controllerAddr{{"n-0", "x"}, {"n-1", "y"}}, NewHistory())
	t.Cleanup(func() {
		w.end()
		w.tasks.Wait()
	})
	return w
}

// A worker carries out commands once, and drops what a controller with a lower fencing token says: else two leaders
// would command it.
func TestWorkerCarriesOutCommands(t *testing.T) {
	w := testWorker(t)
	command := fleet.Command{Ref: "j-000001", Attempt: 1}
	answer := func(token uint64, kind fleet.CommandKind) string {
		command.Kind = kind
		w.obeyAnswer(codec.MustMarshal(wire.Orders{Gavel: token, Orders: wire.OrdersOf([]fleet.Command{command})}), time.Now())
		states := ""
		for _, task := range w.heartbeat().Tasks {
			states += fmt.Sprint(task.State == fleet.Running, " ", task.Cause)
		}
		return states
	}
	for i, step := range []struct {
		token uint64
		kind  fleet.CommandKind
		want  string
	}{
		{5, fleet.Start, "true none"},
		{4, fleet.Stop, "true none"}, // of an earlier leader
		{5, fleet.Start, "true none"},
		{5, fleet.Forget, "true none"}, // it hasn't exited
		{6, fleet.Stop, "false stopped"},
		{6, fleet.Start, "false stopped"}, // the attempt is known
		{6, fleet.Forget, ""},
	} {
		if got := answer(step.token, step.kind); got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
	}
	if started := w.history.Started(); started != 1 {
		t.Errorf("%d starts", started)
	}
}

// Direct commands are carried out only if fencing token and incarnation fit, since they may arrive late.
func TestWorkerDirectCommands(t *testing.T) {
	w := testWorker(t)
	start := wire.OrdersOf([]fleet.Command{{Kind: fleet.Start, Ref: "j-000001", Attempt: 1}})
	for _, c := range []struct {
		name               string
		token, incarnation uint64
		want, tasks        int
	}{
		{"another incarnation", 5, 2, 409, 0},
		{"fitting", 5, 1, 200, 1},
		{"lower token", 4, 1, 409, 1},
	} {
		var answer wire.Heartbeat
		message := wire.Orders{Gavel: c.token, Shift: c.incarnation, Orders: start}
		status := call(t, w.handle, "POST", wire.OrdersPath, message, &answer)
		if status != c.want || len(answer.Lots) != c.tasks {
			t.Errorf("%s: %d with %d tasks", c.name, status, len(answer.Lots))
		}
	}
}

// When its lease has expired, a worker loses all tasks and begins a new incarnation.
func TestWorkerLeaseExpires(t *testing.T) {
	w := testWorker(t)
	w.carryOut(fleet.Command{Kind: fleet.Start, Ref: "j-000001", Attempt: 1})
	w.answeredAt = time.Now().Add(-w.timings.Lease + 10*time.Second)
	w.expire()
	if heartbeat := w.heartbeat(); len(heartbeat.Tasks) != 1 || heartbeat.Incarnation != 1 {
		t.Fatalf("within the lease: %+v", heartbeat)
	}
	w.answeredAt = time.Now().Add(-w.timings.Lease - time.Second)
	w.expire()
	if heartbeat := w.heartbeat(); len(heartbeat.Tasks) != 0 || heartbeat.Incarnation != 2 {
		t.Fatalf("after the lease: %+v", heartbeat)
	}
}

// A redirect is followed to another controller that is known; else the worker tries the next one.
func TestWorkerFollowsRedirects(t *testing.T) {
	for leader, want := range map[string]bool{"n-1": true, "n-0": false, "n-7": false, "": false} {
		w := testWorker(t)
		w.target = 0
		if got := w.redirected(codec.MustMarshal(wire.Redirect{Clerk: leader}), "n-0"); got != want || (w.target == 1) != want {
			t.Errorf("to %q: %v, target %d", leader, got, w.target)
		}
	}
}
