// Package fleet holds what is known of the machines: their states, their leases, their
// images, and where each attempt may still be.
//
//   - machine.go: Machine, its states, and the attempts on it
//   - machine_heartbeats.go: what is known of a machine's heartbeats and their answers
//   - machine_condition.go: whether a machine takes starts, and why not
//   - stale_heartbeats.go, one_way_loss.go, lease.go: what heartbeats prove and what they don't
//   - attempt.go: Attempt, one attempt to run a task on a machine
//   - images.go: which images a machine is believed to have
//   - pool_key.go, amount.go: what machines have in common, and sums of what tasks take
//   - messages.go: heartbeats, and the commands that answer them
//   - start_log.go, image_log.go: the records of starts and images in the state service
package fleet
