// Package admission decides which submitted jobs are admitted while the deployment is overloaded.
//
// The leader's Planner compares demand and backlog with the capacity, computes the share of each
// team and class by weighted max-min fairness, and produces a small numbered Policy. Every
// controller's Gate applies the policy as a pure function of the job's team, class, priority and
// id, so that all controllers give the same answer. In addition, each controller has a local rate
// limit, which contains a surge until a policy takes it into account.
//
// The package does no I/O, starts no goroutines and reads no clock: callers pass in the time. It
// relies on a policy being stored under the leader's term before any gate receives it. Gate and
// Planner aren't safe for concurrent use. A controller guards its gate with a mutex, since
// submissions and peers' messages arrive on different goroutines; the planner belongs to the
// goroutine of the leader's term. Policies are immutable values and may be shared. For the
// reasons behind the design see docs/admission.md.
package admission
