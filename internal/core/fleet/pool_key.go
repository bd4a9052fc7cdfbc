package fleet

import "cmp"

// PoolKey names a pool: the machines that nothing distinguishes before they are requested. For
// a job, all machines of a pool are allowed or none, and the cloud offers machines by pool.
type PoolKey struct {
	Type, Zone string
	Spot       bool
}

// Compare orders pools by type and zone, the ordinary one of a zone before the spot one.
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
