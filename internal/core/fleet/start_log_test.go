package fleet

import (
	"slices"
	"testing"
	"time"
)

// Unwritten lists attempts in a fixed order. Guards against stopping the attempts of a rejected page
// in the random order of a map, which would make runs with equal events differ.
func TestUnwrittenInOrder(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMachine(now, "m-1", PoolKey{Type: "cpu", Zone: "a"})
	page := NewStartLogPage("p", 0)
	for task := range 8 {
		a := &Attempt{TaskID: TaskID{Ref: "j", Task: task}, Number: uint64(task)}
		m.AddAttempt(now, a, Intended)
		page.Add(a)
	}
	sorted := slices.IsSortedFunc(page.Unwritten(), func(a, b *Attempt) int { return a.Task - b.Task })
	if !sorted {
		t.Fatalf("the unwritten attempts aren't sorted")
	}
}
