// Package admission decides under overload which submitted jobs are admitted.
//
// The leader's Planner measures demand and backlog against the capacity, computes the share of each
// team and class by weighted max-min fairness, and makes a small numbered Policy. Every
// controller's Gate applies the policy as a pure function of the job's team, class, priority and
// id, so that all controllers give the same answer. A bound that is local to each controller
// limits a surge that the policy doesn't know of yet.
//
// The package does no input or output, starts no goroutines and reads no clock: every method is
// given the time. It may assume that a policy is stored under the leader's term before any gate
// hears of it. Gate and Planner aren't safe for concurrent use. A controller guards its gate by a
// mutex, since submissions and peers' messages come on goroutines of their own; the planner belongs
// to the goroutine of the leader's term. Policies are values that are replaced and never changed,
// so they may be shared. The reasons are in docs/admission.md.
package admission
