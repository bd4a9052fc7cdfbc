package controller

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/config"
	"gingertally/internal/controller/term"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/wire"
)

// heldLease is a lease of the first term that is valid until it is given up. It implements term.Lease.
type heldLease struct{ over atomic.Bool }

func (*heldLease) Term() leadership.Term            { return leadership.Term{Number: 1} }
func (l *heldLease) Valid(time.Time) bool           { return !l.over.Load() }
func (l *heldLease) Resign(leadership.ResignReason) { l.over.Store(true) }
func (l *heldLease) HandOver(string)                { l.over.Store(true) }
func (l *heldLease) End()                           { l.over.Store(true) }

// termGoroutines returns the stacks of all goroutines that run code of package term.
func termGoroutines() []string {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	var found []string
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		if strings.Contains(stack, "gingertally/internal/controller/term.") {
			found = append(found, stack)
		}
	}
	return found
}

// A term that has ended must leave no goroutines, whatever was in flight. Its writes, scale-outs
// and direct commands once went on after its end in goroutines that nothing waited for, and were
// kept from doing harm only by their conditions.
func TestNoGoroutineIsLeftAfterATerm(t *testing.T) {
	var scaleOuts atomic.Int32
	slowCloud := func(request *fasthttp.RequestCtx) {
		if request.IsPost() {
			scaleOuts.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
		handleCloud(request)
	}
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	endpoints := config.Endpoints{Cloud: serveOn(t, slowCloud), State: serveOn(t, store.handle)}
	c, err := New(testSettings("n-1", nil, endpoints), operator.Default())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.peers.Close)
	spec := pipeline.Spec{
		Ref:      "j-1",
		Class:    "c",
		Team:     "t",
		Priority: pipeline.Normal,
		Tasks:    50,
		CPUs:     4,
		MemGB:    8,
		Image:    "i",
		Estimate: time.Minute,
	}
	if err := c.userJobs.Create(t.Context(), spec, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	before := len(termGoroutines())
	leading := term.New(&heldLease{}, c.termDependencies())
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- leading.Run(ctx, func() { close(ready) }) }()
	<-ready
	eventually(t, "a scale-out is in flight", func() bool { return scaleOuts.Load() > 0 })
	if len(termGoroutines()) <= before {
		t.Fatal("found no goroutine of the running term, so that the test would prove nothing")
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("the term ended without a reason")
	}
	leading.Wait()
	if left := termGoroutines(); len(left) > before {
		t.Errorf("%d goroutines are left after the term, the first:\n%s", len(left)-before, left[0])
	}
}
