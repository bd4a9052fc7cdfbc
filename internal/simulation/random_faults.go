package simulation

import "time"

// planFaults schedules random faults, some of which overlap, and their end after Options.Length.
func (w *World) planFaults() {
	for range 4 + w.rng.IntN(10) {
		w.after(w.between(0, w.options.Length), w.randomFault)
	}
	w.after(w.options.Length, w.endFaults)
}

// endFaults ends all faults, and starts the repeated check that no job is left waiting.
func (w *World) endFaults() {
	w.checker.waiting.checkRepeatedly()
	w.heal()
}

// heal ends the faults of the network, the state service, the cloud, the nodes and the machines,
// and keeps new ones from occurring at random. Pauses and hangs of nodes and machines end at their
// own times.
func (w *World) heal() {
	w.faultsEndedAt = w.now
	w.network.heal()
	w.store.down, w.cloud.down = false, false
	for _, n := range w.nodes {
		n.links, n.slowUntil = links{}, time.Time{}
	}
	for _, m := range w.machines {
		m.faulty, m.inboundLost, m.outboundLost = false, false, false
		clear(m.partitionedFrom)
	}
}

// anyMachine returns a random machine, or nil if there is none.
func (w *World) anyMachine() *machine {
	ms := w.sortedMachines()
	if len(ms) == 0 {
		return nil
	}
	return ms[w.rng.IntN(len(ms))]
}

// randomFault injects one fault of a random kind.
func (w *World) randomFault() {
	n, m := w.nodes[w.rng.IntN(len(w.nodes))], w.anyMachine()
	duration := w.between(2*time.Second, 40*time.Second)
	kind := randomFaultKinds[w.rng.IntN(len(randomFaultKinds))]
	kind(w, n, m, duration)
}

// randomFaultKinds are the kinds of random faults. A kind that is listed several times is chosen
// that much more often. Each function gets a random node, a random machine (nil if there is none)
// and a random duration, and uses those that it needs.
var randomFaultKinds = []func(w *World, n *node, m *machine, d time.Duration){
	(*World).crashNode,
	(*World).crashAllNodes,
	(*World).cutNodeFromStore,
	(*World).cutNodeFromWorkers,
	(*World).cutNodeFromStoreAndWorkers,
	(*World).shortOutage,
	(*World).cloudOutage,
	(*World).hangMachine, (*World).hangMachine,
	(*World).cutMachineFromNode,
	(*World).machineFault, (*World).machineFault,
	(*World).loseInbound, (*World).loseInbound,
	(*World).cutNodeFromStoreAndPeers,
	(*World).networkFault, (*World).networkFault, (*World).networkFault,
}

// randomDowntime returns how long a crashed node stays down.
func (w *World) randomDowntime() time.Duration { return w.between(10*time.Millisecond, 6*time.Second) }

func (w *World) crashNode(n *node, _ *machine, _ time.Duration) { n.crash(w.randomDowntime()) }

func (w *World) crashAllNodes(*node, *machine, time.Duration) {
	longest := w.randomDowntime()
	for _, n := range w.nodes {
		n.crash(w.between(10*time.Millisecond, longest))
	}
}

func (w *World) cutNodeFromStore(n *node, _ *machine, d time.Duration) {
	n.links.storeUnreachable = true
	w.after(d, func() { n.links.storeUnreachable = false })
}

func (w *World) cutNodeFromWorkers(n *node, _ *machine, d time.Duration) {
	n.links.workersUnreachable = true
	w.after(d, func() { n.links.workersUnreachable = false })
}

func (w *World) cutNodeFromStoreAndWorkers(n *node, _ *machine, d time.Duration) {
	n.links.storeUnreachable, n.links.workersUnreachable = true, true
	w.after(d, func() { n.links.storeUnreachable, n.links.workersUnreachable = false, false })
}

// cutNodeFromStoreAndPeers cuts a node off from the state service and the other nodes, while
// workers and users still reach it.
func (w *World) cutNodeFromStoreAndPeers(n *node, _ *machine, d time.Duration) {
	n.links.storeUnreachable, n.links.peersUnreachable = true, true
	w.after(d, func() { n.links.storeUnreachable, n.links.peersUnreachable = false, false })
}

func (w *World) shortOutage(*node, *machine, time.Duration) {
	w.outage(w.between(time.Second, 20*time.Second))
}

func (w *World) cloudOutage(_ *node, _ *machine, d time.Duration) {
	w.cloud.down = true
	w.after(d, func() { w.cloud.down = false })
}

func (w *World) hangMachine(_ *node, m *machine, d time.Duration) {
	if m != nil {
		m.hungUntil = w.now.Add(d)
	}
}

func (w *World) cutMachineFromNode(n *node, m *machine, d time.Duration) {
	if m != nil && m.isUp {
		m.partitionedFrom[n] = true
		w.after(d, func() { m.partitionedFrom[n] = false })
	}
}

func (w *World) loseInbound(_ *node, m *machine, d time.Duration) {
	if m != nil {
		m.inboundLost = true
		w.after(2*d, func() { m.inboundLost = false })
	}
}

// networkFault injects a fault between zones or between controllers, or restarts the controllers.
func (w *World) networkFault(_ *node, _ *machine, d time.Duration) {
	i := w.rng.IntN(len(w.zones))
	zone, other := w.zones[i], w.zones[(i+1)%len(w.zones)]
	switch w.rng.IntN(4) {
	case 0:
		w.network.cutZones[zone] = true
		w.after(d, func() { delete(w.network.cutZones, zone) })
	case 1:
		w.network.partitionedZones[[2]string{zone, other}] = true
		w.after(d, func() { delete(w.network.partitionedZones, [2]string{zone, other}) })
	case 2:
		w.network.peersRefuse = true
		w.after(d, func() { w.network.peersRefuse = false })
	case 3: // all controllers restart, one after the other
		for i, n := range w.nodes {
			w.after(time.Duration(i)*4*time.Second, func() { n.crash(w.between(10*time.Millisecond, 3*time.Second)) })
		}
	}
}

// machineFault has a machine die, restart its worker, or fail all its tasks, or has the cloud take
// it back after a notice.
func (w *World) machineFault(_ *node, m *machine, _ time.Duration) {
	if m == nil {
		return
	}
	switch w.rng.IntN(4) {
	case 3:
		if m.isUp {
			m.reboot()
		}
	case 0:
		m.terminate()
	case 1:
		m.faulty = true
	case 2:
		m.interruptionAt = w.now.Add(w.between(3*time.Second, 12*time.Second))
		w.after(m.interruptionAt.Sub(w.now), m.terminate)
		if m.isUp {
			m.heartbeatSoon()
		}
	}
}

// outage has the state service refuse all requests for a while. A leader lease that was valid when
// the outage began gets its full time again when the outage ends.
func (w *World) outage(d time.Duration) {
	if w.store.down {
		return
	}
	held := w.store.lease.held(w.now)
	w.store.down = true
	w.after(d, func() {
		w.store.down = false
		if held {
			w.store.lease.until = w.now.Add(w.options.LeaseTTL)
		}
	})
}
