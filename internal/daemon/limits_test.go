package daemon

import "testing"

// Users' writes at all nodes together stay within half of the state service's rate,
// whatever that is, and a user who submits a pipeline job by job at one node needn't
// wait for that node's part of it. At four writes at once the fifth job of each
// pipeline took over 200 ms.
func TestUserWrites(t *testing.T) {
	for _, c := range []struct {
		rate, nodes float64
		pipeline    int // jobs that are taken at once
	}{{80, 3, 7}, {56, 7, 7}, {20, 5, 4}, {15, 5, 4}, {1, 3, 0}} {
		each, burst := userWrites(c.rate, c.nodes)
		if each*c.nodes > c.rate/2+1e-9 || float64(burst) > c.rate/2 || burst < c.pipeline {
			t.Errorf("%g a second on %g nodes: %g each, %d at once", c.rate, c.nodes, each, burst)
		}
	}
}
