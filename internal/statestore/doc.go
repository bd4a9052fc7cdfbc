// Package statestore is the client of the state service, a consensus-backed key-value store with
// transactions by compare-and-swap, leases and watches.
//
// The package owns the mapping between the protocol's messages (package wire) and the field's terms,
// which nothing above it knows; the connections to the state service; and this controller's part of
// the state service's rates, within which it keeps requests and writes. It doesn't retry: a caller
// learns from the error whether a request may have been executed, and decides.
//
// It assumes that the state service carries each transaction out entirely or not at all, and that
// every change has a higher revision than the one before.
//
// A Client is safe for concurrent use; all goroutines of a controller share one, or several that are
// made from it by Part. Every call returns within its timeout, and earlier if the context's deadline
// is earlier.
package statestore
