package jobstore

import (
	"sync"
	"time"

	"gingertally/internal/core/pipeline"
)

// Bounds of the jobs kept at hand; a full cache is emptied.
const (
	maxFinals   = 5_000
	maxAccepted = 20_000
)

// cache keeps what was read of jobs and can't change, or counts for a while.
type cache struct {
	mu             sync.Mutex
	finals         map[string]pipeline.Final // final entries
	accepted       map[string]bool           // jobs that were accepted and are no services
	notCancelledAt map[string]time.Time      // when jobs, and all that they need, weren't cancelled
}

func newCache() *cache {
	return &cache{finals: map[string]pipeline.Final{}, accepted: map[string]bool{}, notCancelledAt: map[string]time.Time{}}
}

func (c *cache) noteFinal(ref string, final pipeline.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finals) >= maxFinals {
		clear(c.finals)
	}
	c.finals[ref] = final
}

func (c *cache) final(ref string) (pipeline.Final, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, ok := c.finals[ref]
	return final, ok
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
