package simulation

import "testing"

// requireAtLeast fails the test for each kind of event that occurred less often than its minimum.
func (c eventCounts) requireAtLeast(t *testing.T, least eventCounts) {
	t.Helper()
	for event, n := range least {
		if c[event] < n {
			t.Errorf("%s: %d, at least %d expected", event, c[event], n)
		}
	}
}
