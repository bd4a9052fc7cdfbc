package jobstore

import (
	"sync"
	"time"

	"gingertally/internal/core/pipeline"
)

// Bounds of the cache, in jobs. A map that is full is emptied: all in it can be read again.
const (
	maxFinals   = 5_000
	maxAccepted = 20_000
)

// cache holds facts about jobs that have been read: such that never change, and such that
// are relied on for a limited time. It is safe for concurrent use.
type cache struct {
	mu             sync.Mutex
	finals         map[string]pipeline.Final // final entries, which never change
	accepted       map[string]bool           // jobs that were accepted and aren't services
	notCancelledAt map[string]time.Time      // when neither the job nor any of its dependencies was cancelled
}

func newCache() *cache {
	return &cache{
		finals:         map[string]pipeline.Final{},
		accepted:       map[string]bool{},
		notCancelledAt: map[string]time.Time{},
	}
}

func (c *cache) noteFinal(ref string, final pipeline.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finals) >= maxFinals {
		clear(c.finals)
	}
	c.finals[ref] = final
}

func (c *cache) final(ref string) (final pipeline.Final, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, known = c.finals[ref]
	return final, known
}

func (c *cache) noteAccepted(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.accepted) >= maxAccepted {
		clear(c.accepted)
	}
	c.accepted[ref] = true
}

func (c *cache) isAccepted(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted[ref]
}

func (c *cache) noteNotCancelled(ref string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.notCancelledAt) >= maxAccepted {
		clear(c.notCancelledAt)
	}
	c.notCancelledAt[ref] = at
}

func (c *cache) notCancelled(ref string) (at time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known = c.notCancelledAt[ref]
	return at, known
}
