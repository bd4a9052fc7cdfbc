package placement

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// countByZone makes a board count what it places by zone, as the engine does.
func countByZone(b *board) { b.zones = map[string]int{} }

func service(t *testing.T, replicas int) *pipeline.Job {
	t.Helper()
	return job(t, pipeline.Spec{Ref: "j-1", Tasks: replicas, CPUs: 4, Shape: pipeline.Service, Spread: true})
}

// Replicas that are missing after the loss of a zone preempt array tasks. Guards against replicas that
// wait for such tasks to end, once for 7 s on average: a service that had started had no objective
// left that it could miss.
func TestMissingReplicasMakeRoom(t *testing.T) {
	b := newBoard(t, []*pipeline.Job{service(t, 4)}, machine("m-1", "cpu", "a", "j-9", "j-8"),
		machine("m-2", "cpu", "a", "j-9", "j-8"), machine("m-3", "cpu", "a", "j-9", "j-8"),
		machine("m-4", "cpu", "b", "j-9", "j-8"))
	countByZone(b)
	new(Round).Run(&b.Board)
	byMachine := map[string]int{}
	for _, a := range b.stopped {
		byMachine[a.Machine.Name]++
	}
	if len(b.stopped) != 3 || byMachine["m-4"] != 1 || b.unmet != 4 {
		t.Fatalf("stopped on %v, unmet %d; want two machines in zone a, one in zone b", byMachine, b.unmet)
	}
}

// The replicas of a service are placed on as many machines and zones as possible. Guards against
// putting them all on one machine, or as many in one zone as the limit of half of them allows.
func TestReplicasSpread(t *testing.T) {
	var machines []*fleet.Machine
	for i, zone := range []string{"a", "a", "b", "c"} {
		machines = append(machines, machine(fmt.Sprintf("m-%d", i+1), "cpu", zone))
	}
	b := newBoard(t, []*pipeline.Job{service(t, 4)}, machines...)
	countByZone(b)
	new(Round).Run(&b.Board)
	on := map[string]int{}
	for _, d := range b.placed {
		on[d.Slot.Machine.Name]++
	}
	if len(b.placed) != 4 || len(on) != 4 {
		t.Fatalf("4 replicas on %v, want one on each of 4 machines", on)
	}
}

// On machines with GPUs, replicas first take the room that is left beside tasks that need the GPUs.
// Only then do they fill machines that have no more room for such tasks anyway. Guards against
// scattering replicas over those machines so that no GPU task fits on any: gangs once waited for
// minutes while the GPUs were idle.
func TestReplicasLeaveRoomForGPUWork(t *testing.T) {
	large := &pipeline.Spec{Ref: "j-9", CPUs: 4, GPUs: 2}
	on := map[string]int{}
	for i := range 6 {
		machines := []*fleet.Machine{machine("m-1", "gpu", "a"), machine("m-2", "gpu", "a"), machine("m-3", "gpu", "a")}
		for k, m := range machines {
			for n := range on[m.Name] {
				replica := &fleet.Attempt{TaskID: fleet.TaskID{Ref: "j-8", Task: 10*k + n}, CPUs: 2, ServiceReplica: true}
				m.AddAttempt(time.Unix(0, 0), replica, fleet.Running)
			}
		}
		replica := job(t, pipeline.Spec{Ref: "j-1", Tasks: 1, CPUs: 2, Shape: pipeline.Service})
		b := newBoard(t, []*pipeline.Job{replica}, machines...)
		b.LargeGPUWork = map[*Type]*pipeline.Spec{types["gpu"]: large}
		countByZone(b)
		new(Round).Run(&b.Board)
		if len(b.placed) != 1 {
			t.Fatalf("replica %d isn't placed", i)
		}
		on[b.placed[0].Slot.Machine.Name]++
	}
	for name, n := range on {
		if n != 2 {
			t.Errorf("%d replicas on %s, of which 2 leave room for the work that needs GPUs", n, name)
		}
	}
}
