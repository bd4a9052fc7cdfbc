// Package placement decides on which machines waiting tasks run, within the constraints of their jobs
// and the quotas of their teams. It works in rounds of one or more passes: a pass that has used up its
// budget stops, and the next one resumes at the same job.
//
//   - rounds.go: Round, which goes through the queue of jobs; board.go: Board, its inputs, with the
//     interfaces Cluster and Executor through which it asks and acts
//   - array.go, gang.go, replicas.go: how the tasks of each shape of job are placed
//   - score.go: Scorer, which ranks slots for a task
//   - free_capacity.go, slot.go, machine_type.go: the free capacity by pool and machine, and the
//     catalog of machine types
//   - preempt.go: reservations and preemption for jobs without room
//   - placement.go, quota.go: what a job's constraints and its team's quota allow
package placement
