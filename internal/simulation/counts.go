package simulation

// eventCounts counts the events of a world by kind; the key is a short description of the kind. A
// test of a scenario requires a minimum for each kind, since a scenario whose events don't occur
// proves nothing.
type eventCounts map[string]int

// addAll adds the counts of another world.
func (c eventCounts) addAll(other eventCounts) {
	for event, n := range other {
		c[event] += n
	}
}
