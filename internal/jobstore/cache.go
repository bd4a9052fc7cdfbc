package jobstore

import (
	"sync"
	"time"

	"gingertally/internal/core/pipeline"
)

// Maximum numbers of jobs in the maps of the cache: maxCachedFinals in finals, maxCachedRefs in each
// of the others. A map that is full is cleared, since all that it holds can be read again.
const (
	maxCachedFinals = 5_000
	maxCachedRefs   = 20_000
)

// cache holds what is known about jobs from earlier reads and writes. Entries of finals and
// validDependencies stay valid; those of notCancelledAt are relied on for a limited time. It is safe
// for concurrent use.
type cache struct {
	mu                sync.Mutex
	finals            map[string]pipeline.Final // final entries, which never change
	validDependencies map[string]bool           // jobs that were accepted and aren't known to be services
	notCancelledAt    map[string]time.Time      // when the job and its dependencies weren't cancelled
}

func newCache() *cache {
	return &cache{
		finals:            map[string]pipeline.Final{},
		validDependencies: map[string]bool{},
		notCancelledAt:    map[string]time.Time{},
	}
}

func (c *cache) noteFinal(ref string, final pipeline.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finals) >= maxCachedFinals {
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

func (c *cache) noteValidDependency(ref string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.validDependencies) >= maxCachedRefs {
		clear(c.validDependencies)
	}
	c.validDependencies[ref] = true
}

func (c *cache) isValidDependency(ref string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validDependencies[ref]
}

func (c *cache) noteNotCancelled(ref string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.notCancelledAt) >= maxCachedRefs {
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
