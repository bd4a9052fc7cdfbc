// Package placement decides which waiting task goes where: quota, constraints, and a round of
// decisions that stops when its budget is spent and goes on from there the next time.
//
//   - rounds.go: Round, which goes through the queue of jobs; board.go: Board, what it decides on,
//     with the interfaces Cluster and Executor through which it asks and acts
//   - array.go, gang.go, replicas.go: how the tasks of each shape of job are placed
//   - score.go: Scorer, which compares places
//   - free_capacity.go, slot.go, machine_type.go: what is free, by pool and machine, and the
//     catalog of machine types
//   - preempt.go: room that is kept or made for jobs that have none
//   - placement.go, quota.go: what a job's constraints and its team's quota allow
package placement
