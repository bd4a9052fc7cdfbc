package leadership

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gingertally/internal/goldentest"
)

// Checks the stored form of a claimed term and of the record of a restore (RestoredKey).
func TestStoredTermGolden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		node := newTestElector(store, "node-1", nil, 0, nil)
		go func() { _ = node.Run(ctx) }() // ends with ctx
		time.Sleep(2 * time.Second)
		synctest.Wait()
		var lines goldentest.Lines
		for _, key := range slices.Sorted(maps.Keys(store.items)) {
			lines.Add("%s %x", key, store.items[key].Value)
		}
		lines.Add("%s %x", RestoredKey, RestoredValue(7))
		lines.Check(t, "stored.txt")
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
	})
}
