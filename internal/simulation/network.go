package simulation

// network is what connects zones and controllers, with its faults.
type network struct {
	reliable         bool               // nothing is lost or delayed by chance any more
	peersRefuse      bool               // controllers refuse each other's connections
	cutZones         map[string]bool    // cut off from everything
	partitionedZones map[[2]string]bool // pairs of zones that can't reach each other
}

func newNetwork() network {
	return network{cutZones: map[string]bool{}, partitionedZones: map[[2]string]bool{}}
}

// reachable tells whether packets get from one zone to another. An empty name stands for what belongs to no zone,
// such as the state service.
func (n *network) reachable(a, b string) bool {
	if a == b {
		return true
	}
	partitioned := n.partitionedZones[[2]string{a, b}] || n.partitionedZones[[2]string{b, a}]
	return !n.cutZones[a] && !n.cutZones[b] && !partitioned
}

// heal ends all faults of the network, and keeps it from having others by chance.
func (n *network) heal() {
	n.reliable, n.peersRefuse = true, false
	clear(n.cutZones)
	clear(n.partitionedZones)
}
