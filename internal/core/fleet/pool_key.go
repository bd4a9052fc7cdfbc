package fleet

import "cmp"

// PoolKey identifies a pool: the machines of one type in one zone that are all spot instances or
// all on demand. A job may use either all machines of a pool or none, and the cloud offers machines
// by pool.
type PoolKey struct {
	Type, Zone string
	Spot       bool
}

// Compare orders pools by type, then by zone, on demand before spot.
func (k PoolKey) Compare(o PoolKey) int {
	if c := cmp.Compare(k.Type, o.Type); c != 0 {
		return c
	}
	if c := cmp.Compare(k.Zone, o.Zone); c != 0 || k.Spot == o.Spot {
		return c
	}
	if o.Spot {
		return -1
	}
	return 1
}
