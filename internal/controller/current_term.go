package controller

import (
	"sync"
	"sync/atomic"

	"gingertally/internal/controller/term"
)

// currentTerm is this controller's present term as the leader. The work of a former term may still be
// running: it can neither take the place of the present one nor remove it. All methods may be called
// from any goroutine.
type currentTerm struct {
	mu      sync.Mutex
	claimed *term.Term // nil unless this controller has claimed a term that isn't over
	serving atomic.Pointer[term.Term]
}

// Load returns the present term once its takeover is complete; nil before, and after its end.
func (c *currentTerm) Load() *term.Term { return c.serving.Load() }

// begin makes a term that was just claimed the present one.
func (c *currentTerm) begin(t *term.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed = t
}

// takenOver records that a term's takeover is complete. It does nothing if the term is over.
func (c *currentTerm) takenOver(t *term.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed == t {
		c.serving.Store(t)
	}
}

// end records that the present term is over.
func (c *currentTerm) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed = nil
	c.serving.Store(nil)
}
