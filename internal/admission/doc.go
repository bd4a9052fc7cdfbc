// Package admission decides which submitted jobs are admitted while the deployment is overloaded.
//
// The leader's Planner compares demand and backlog with the capacity, computes the share of each
// team, class and priority by weighted max-min fairness, and produces a Policy, which is small and
// numbered. Every controller's Gate applies the policy as a pure function of the job's team, class,
// priority and id, so that all controllers with the same policy give the same answer. Two things
// may differ between controllers: a local rate limit, which contains a surge until a policy takes
// it into account, and the fallback of a gate whose policy wasn't confirmed for PolicyAge.
//
// The package does no I/O, starts no goroutines and reads no clock: callers pass in the time. It
// relies on a policy being stored under the leader's term before any gate receives it. Gate and
// Planner aren't safe for concurrent use. A controller guards its gate with a mutex, since
// submissions and peers' messages arrive on different goroutines; the planner belongs to the
// goroutine of the leader's term. Policies are immutable values and may be shared. For the
// reasons behind the design see docs/admission.md.
package admission
