// Package fleet holds the leader's view of the machines: their states, their leases, their
// images, and where each attempt may still be.
//
//   - machine.go: Machine, its states, and the attempts on it
//   - machine_heartbeats.go: a machine's heartbeats, and the answers to them
//   - machine_condition.go: whether a machine may be sent starts, and if not, why
//   - stale_heartbeats.go, one_way_loss.go, lease.go: restarts, lost answers and the ends of
//     leases, as far as heartbeats prove them
//   - attempt.go: Attempt, one attempt to run a task on a machine
//   - images.go: which images a machine is believed to have
//   - pool_key.go, amount.go: pools of equal machines, and amounts of resources
//   - messages.go: heartbeats, and the commands to workers
//   - start_log.go, image_log.go: the records of starts and images in the state service
package fleet
