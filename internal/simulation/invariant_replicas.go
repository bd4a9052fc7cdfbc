package simulation

import "gingertally/internal/core/pipeline"

// replicasMoveInTurn: a service with several replicas never has all of them moved voluntarily at
// once. A replica counts as moved from when its stop reaches the worker until it runs again.
//
// Deliberate fault: "all replicas of a service stopped at once".
type replicasMoveInTurn struct {
	w     *World
	moved map[*userJob]map[int]bool // replicas that are being moved, by index
	moves int                       // voluntary moves of replicas so far
}

func (i *replicasMoveInTurn) observe(o observation) {
	switch o := o.(type) {
	case stopReceived:
		i.checkStop(o.task)
	case taskRunning:
		delete(i.moved[o.task.job], o.task.index)
	}
}

// checkStop records the voluntary stop of a replica and checks that not all replicas are being moved.
func (i *replicasMoveInTurn) checkStop(t *task) {
	j := t.job
	if j.spec.Shape != pipeline.Service || j.spec.Tasks < 2 || !i.w.checker.ledger.stoppedVoluntarily(t) {
		return
	}
	if i.moved[j] == nil {
		i.moved[j] = map[int]bool{}
	}
	i.moved[j][t.index] = true
	i.moves++
	if len(i.moved[j]) == j.spec.Tasks {
		i.w.checker.fail("all moved: the last of the %d replicas of %s is stopped on %s", j.spec.Tasks, j.spec.Ref, t.m.name)
	}
}
