package simulation

// eventCounts counts what came about in a world, by a short description of each kind of event. A test that
// plays a scenario requires a least number of each, since a scenario that didn't come about proves nothing.
type eventCounts map[string]int

// addAll adds the counts of another world.
func (c eventCounts) addAll(other eventCounts) {
	for event, n := range other {
		c[event] += n
	}
}
