// Package statestore is the client of the state service, a consensus-backed key-value store with
// compare-and-swap transactions, leases and watches.
//
// The package owns the connections to the state service; the conversion between the protocol's
// messages (package wire) and the usual terms for such a store, so that no other package depends on
// the protocol's names; and this controller's share of the state service's rate limits. It keeps
// requests and writes within that share, except requests about leases and those of IsServing, which
// don't wait. It doesn't retry: the error tells the caller whether a request may have been executed,
// and the caller decides.
//
// It assumes that the state service executes each transaction entirely or not at all, and that every
// change has a higher revision than the one before.
//
// A Client is safe for concurrent use. All goroutines of a controller share one, or several that are
// made from it by WithRates. A request waits at most maxRateWait for each rate limit, and then ends
// within its timeout, or by the context's deadline if that is earlier; a watch ends with its context.
// List makes one request per page.
package statestore
