package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// While the state service is out for all, a leader can't renew its lease, and a node
// can't tell an outage from a refusal that it alone gets. So a leader that isn't answered
// asks all other nodes to promise that they leave the place to it, and keeps its right for
// as long as every one of them has: nobody else can then claim, whether or not the lease
// still stands. They only carry a right on that has never lapsed: once it has, somebody
// may have led meanwhile, and only the lease can tell. A node promises only while the state service doesn't serve it either
// (the daemon sees to that; safety doesn't rest on it), and a node that can't be reached
// promises nothing, so a leader that is cut off alone loses its right as ever.

const (
	// PromiseFor is how long a promise holds, and how long a node that has just
	// started claims nothing, since it may have promised so before its end.
	PromiseFor = 1500 * time.Millisecond
	// promiseEvery is how often promises are asked for anew, promiseWait how long one
	// is waited for.
	promiseEvery = 300 * time.Millisecond
	promiseWait  = 700 * time.Millisecond
)

// seekPromises asks the others, while this node leads and the state service doesn't
// renew its lease.
func (l *Lead) seekPromises(ctx context.Context) {
	if l.o.Hooks.Ask == nil {
		return
	}
	for ctx.Err() == nil {
		pause(ctx, promiseEvery)
		l.mu.Lock()
		seek := l.role == Leading && !l.resign && time.Until(l.until) < l.o.TTL*5/8
		l.mu.Unlock()
		if seek {
			l.askAll(ctx)
		}
	}
}

func (l *Lead) askAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, promiseWait)
	defer cancel()
	sent := time.Now()
	var wg sync.WaitGroup
	for _, name := range l.o.Others {
		wg.Go(func() {
			if !l.o.Hooks.Ask(ctx, name) {
				return
			}
			// Counted from before it was asked for, and less what two clocks drift.
			l.promisedBy(name, time.Now(), sent.Add(PromiseFor-margin(PromiseFor)))
		})
	}
	wg.Wait()
}

// promisedBy takes in another node's promise, and carries the right on to where all of
// them hold.
func (l *Lead) promisedBy(name string, now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != Leading || l.resign || !now.Before(l.until) {
		return
	}
	l.promises[name] = until
	for _, o := range l.o.Others {
		if p := l.promises[o]; p.Before(until) {
			until = p
		}
	}
	if !until.After(l.until) {
		return
	}
	l.until = until
	if !l.carried {
		slog.Warn("the state service doesn't renew the lease; going on by the others' promises", "term", l.term.N)
	}
	l.carried = true
}

// Promise has this node leave the place to whoever leads for PromiseFor; false if it
// leads itself or is about to.
func (l *Lead) Promise() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == Leading || l.role == Claiming {
		return false
	}
	l.promised = time.Now().Add(PromiseFor)
	return true
}

// mayClaim tells whether this node may claim now, and is about to: from then on it
// promises nothing. One that has just started waits, unless nobody has ever led.
func (l *Lead) mayClaim(ctx context.Context) bool {
	if time.Since(l.booted) < PromiseFor && l.o.Hooks.Ask != nil && len(l.o.Others) > 0 {
		if _, found, err := l.store.Get(ctx, TermKey); err != nil || found {
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.promised) {
		return false
	}
	l.moveLocked(Claiming)
	return true
}
