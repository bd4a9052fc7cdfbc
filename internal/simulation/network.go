package simulation

// network holds the current faults of the network between zones, controllers and the state service.
type network struct {
	reliable         bool               // no message is randomly lost or delayed any more
	peersRefuse      bool               // controllers refuse each other's connections
	cutZones         map[string]bool    // cut off from everything
	partitionedZones map[[2]string]bool // pairs of zones that can't reach each other
}

func newNetwork() network {
	return network{cutZones: map[string]bool{}, partitionedZones: map[[2]string]bool{}}
}

// reachable reports whether packets get from one zone to another. An empty name stands for services
// outside all zones, such as the state service and the cloud.
func (n *network) reachable(a, b string) bool {
	if a == b {
		return true
	}
	partitioned := n.partitionedZones[[2]string{a, b}] || n.partitionedZones[[2]string{b, a}]
	return !n.cutZones[a] && !n.cutZones[b] && !partitioned
}

// heal ends all faults of the network and turns off random ones.
func (n *network) heal() {
	n.reliable, n.peersRefuse = true, false
	clear(n.cutZones)
	clear(n.partitionedZones)
}
