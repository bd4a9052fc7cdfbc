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

// call passes a request to a handler and returns the status. If answer isn't nil, it decodes the body
// into answer.
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

// put returns a transaction that puts a key if the key's revision is stamp (0: it doesn't exist).
func put(key string, stamp, lease uint64) wire.Commit {
	return wire.Commit{
		If:    []wire.Condition{{Path: key, Stamp: stamp}},
		Apply: []wire.Change{{Put: key, V: codec.MustMarshal(1), Hold: lease}},
	}
}

// A transaction whose condition fails changes nothing and reports the key. Otherwise two controllers
// could become the leader at the same time.
func TestStateServiceCompareAndSwap(t *testing.T) {
	s := newStateService()
	var result wire.CommitResult
	if status := call(t, s.Handle, "POST", wire.CommitPath, put("a/b", 0, 0), &result); status != 200 || result.Ledger != 1 {
		t.Fatalf("first transaction: status %d, %+v", status, result)
	}
	status := call(t, s.Handle, "POST", wire.CommitPath, put("a/b", 0, 0), &result)
	if status != 409 || len(result.Failed) != 1 || result.Failed[0] != "a/b" || s.revision != 1 {
		t.Fatalf("second transaction: status %d, %+v", status, result)
	}
	if status := call(t, s.Handle, "POST", wire.CommitPath, put("c", 0, 7), nil); status != 400 {
		t.Fatalf("unknown lease: status %d", status)
	}
	var page wire.StorePage
	call(t, s.Handle, "GET", wire.StorePath+"?starts=a/&most=5", nil, &page)
	if len(page.Rows) != 1 || page.Rows[0].Stamp != 1 || page.HasNext {
		t.Fatalf("list: %+v", page)
	}
}

// When a lease isn't renewed, it expires, the keys attached to it are deleted, and watches report the
// deletion. Otherwise a controller would stay the leader after it has ended.
func TestStateServiceLeases(t *testing.T) {
	s := newStateService()
	var grant wire.LeaseGrant
	call(t, s.Handle, "POST", wire.LeasesPath, wire.LeaseRequest{LifeMS: 1000}, &grant)
	call(t, s.Handle, "POST", wire.CommitPath, put("leader", 0, grant.Hold), nil)
	leasePath := fmt.Sprintf("%s/%d", wire.LeasesPath, grant.Hold)
	if status := call(t, s.Handle, "POST", leasePath+wire.KeepAliveSuffix, nil, nil); status != 200 {
		t.Fatalf("keep-alive: status %d", status)
	}
	s.endExpiredLeases(time.Now().Add(500 * time.Millisecond))
	if status := call(t, s.Handle, "GET", wire.StorePath+"/leader", nil, nil); status != 200 {
		t.Fatalf("get before the lease expires: status %d", status)
	}
	s.endExpiredLeases(time.Now().Add(2 * time.Second))
	if status := call(t, s.Handle, "GET", wire.StorePath+"/leader", nil, nil); status != 404 {
		t.Fatalf("get after the lease expired: status %d", status)
	}
	if status := call(t, s.Handle, "POST", leasePath+wire.KeepAliveSuffix, nil, nil); status != 404 {
		t.Fatalf("keep-alive of an expired lease: status %d", status)
	}
	var news wire.News
	call(t, s.Handle, "GET", wire.WatchPath+"?starts=lead&since=1", nil, &news)
	if len(news.News) != 1 || news.News[0].Drop != "leader" || news.News[0].Stamp != 2 || news.Ledger != 2 {
		t.Fatalf("watch: %+v", news)
	}
}

// A watch from before the changes that are kept is answered with status 410. If it got only the changes
// that are left, a controller would silently miss the others.
func TestStateServiceCompaction(t *testing.T) {
	s := newStateService()
	for range 2*minKeptEvents + 1 {
		s.apply([]change{{key: "a"}})
	}
	for since, want := range map[int]int{1: 410, minKeptEvents: 410, minKeptEvents + 1: 200, 2 * minKeptEvents: 200} {
		if status := call(t, s.Handle, "GET", fmt.Sprintf("%s?starts=a&since=%d", wire.WatchPath, since), nil, nil); status != want {
			t.Errorf("since %d: status %d, want %d", since, status, want)
		}
	}
}

// A repeated request creates no further machines and gets the names that the first one got. Otherwise
// a retry would create machines that nobody uses. Deleting an unknown machine does nothing, and spot
// machines aren't available.
func TestCloudCreatesOnce(t *testing.T) {
	booted, deleted := 0, 0
	cloud := &Cloud{Zones: zones, Boot: func(string, string) { booted++ }, Delete: func(string) { deleted++ }}
	request := wire.RentalRequest{Hire: "r-1", Build: MachineType, Yard: "a", Count: 2}
	var first, again wire.Stalls
	call(t, cloud.Handle, "POST", wire.RentalsPath, request, &first)
	call(t, cloud.Handle, "POST", wire.RentalsPath, request, &again)
	if booted != 2 || len(again.Stalls) != 2 || first.Stalls[1] != again.Stalls[1] {
		t.Fatalf("%d machines booted; first answer %v, second %v", booted, first, again)
	}
	call(t, cloud.Handle, "POST", wire.ReleasePath, wire.Stalls{Stalls: []string{first.Stalls[0], "m-999999"}}, nil)
	if machines := cloud.Machines(); deleted != 1 || len(machines) != 1 || machines[0] != first.Stalls[1] {
		t.Fatalf("%d machines deleted; left: %v", deleted, machines)
	}
	request = wire.RentalRequest{Hire: "r-2", Loaners: true, Count: 1}
	if status := call(t, cloud.Handle, "POST", wire.RentalsPath, request, nil); status != 503 {
		t.Fatalf("spot request: status %d", status)
	}
}

// testWorker returns a worker that sends no heartbeats: the test calls its methods directly.
func testWorker(t *testing.T) *Worker {
	t.Helper()
	timings := Timings{Heartbeat: time.Second, Lease: time.Minute, RunTime: time.Hour}
	w := newWorker("m-000001", "a", timings, []controllerAddr{{"n-0", "x"}, {"n-1", "y"}}, NewHistory())
	t.Cleanup(func() {
		w.end()
		w.taskGroup.Wait()
	})
	return w
}

// A worker executes a command once and ignores commands with a lower fencing token than it has seen.
// Otherwise it would obey two leaders.
func TestWorkerCarriesOutCommands(t *testing.T) {
	w := testWorker(t)
	command := fleet.Command{Ref: "j-000001", Attempt: 1}
	answer := func(token uint64, kind fleet.CommandKind) string {
		command.Kind = kind
		w.applyAnswer(codec.MustMarshal(wire.Orders{Gavel: token, Orders: wire.OrdersOf([]fleet.Command{command})}), time.Now())
		states := ""
		for _, task := range w.newHeartbeat().Tasks {
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
		{4, fleet.Stop, "true none"}, // from an earlier leader
		{5, fleet.Start, "true none"},
		{5, fleet.Forget, "true none"}, // ignored: it hasn't exited
		{6, fleet.Stop, "false stopped"},
		{6, fleet.Start, "false stopped"}, // ignored: the attempt is known
		{6, fleet.Forget, ""},
	} {
		if got := answer(step.token, step.kind); got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
	}
	if started := w.history.Started(); started != 1 {
		t.Errorf("%d tasks started, want 1", started)
	}
}

// A worker executes direct commands only if they are for its incarnation and their fencing token isn't
// lower than one that it has seen, because direct commands may arrive late.
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
			t.Errorf("%s: status %d with %d tasks", c.name, status, len(answer.Lots))
		}
	}
}

// A worker drops all tasks and begins a new incarnation when its lease has expired, and not before.
// Otherwise its tasks would run on while the controllers start them elsewhere.
func TestWorkerLeaseExpires(t *testing.T) {
	w := testWorker(t)
	w.execute(fleet.Command{Kind: fleet.Start, Ref: "j-000001", Attempt: 1})
	w.leaseRenewed = time.Now().Add(-w.timings.Lease + 10*time.Second)
	w.checkLease()
	if heartbeat := w.newHeartbeat(); len(heartbeat.Tasks) != 1 || heartbeat.Incarnation != 1 {
		t.Fatalf("within the lease: %+v", heartbeat)
	}
	w.leaseRenewed = time.Now().Add(-w.timings.Lease - time.Second)
	w.checkLease()
	if heartbeat := w.newHeartbeat(); len(heartbeat.Tasks) != 0 || heartbeat.Incarnation != 2 {
		t.Fatalf("after the lease: %+v", heartbeat)
	}
}

// A worker follows a redirect only to another controller that it knows; after any other redirect, it
// tries the next one. Otherwise it could call the same controller over and over.
func TestWorkerFollowsRedirects(t *testing.T) {
	for leader, want := range map[string]bool{"n-1": true, "n-0": false, "n-7": false, "": false} {
		w := testWorker(t)
		w.target = 0
		if got := w.followRedirect(codec.MustMarshal(wire.Redirect{Clerk: leader}), "n-0"); got != want || (w.target == 1) != want {
			t.Errorf("redirect to %q: followed %v, target %d", leader, got, w.target)
		}
	}
}
