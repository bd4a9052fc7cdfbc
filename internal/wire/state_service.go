package wire

// This file mirrors the state service's interface (PROTOCOL: Controller nodes -> state service).

import "gingertally/internal/codec"

// Paths of the state service's interface. The path of a key is StorePath, a slash and the key; that
// of a lease is LeasesPath, a slash and the lease's number.
const (
	StorePath       = "/store"
	CommitPath      = "/commit"
	LeasesPath      = "/leases"
	KeepAliveSuffix = "/touch" // follows the path of a lease
	WatchPath       = "/follow"
)

// StoreItem is a key with its value: the body of the response to GET /store/{key}, and a row of a
// StorePage. Stamp is the revision of the key's last change, Hold the lease that the key is attached
// to, or 0 if there is none.
type StoreItem struct {
	Path  string           `cbor:"path"`
	V     codec.RawMessage `cbor:"v"`
	Stamp uint64           `cbor:"stamp"`
	Hold  uint64           `cbor:"hold"`
}

// StorePage is the body of the response to GET /store, which reads keys with a prefix. Ledger is the
// store's revision.
type StorePage struct {
	Rows    []StoreItem `cbor:"rows"`
	HasNext bool        `cbor:"has_next"`
	Ledger  uint64      `cbor:"ledger"`
}

// Condition is a condition of a Commit: the key's last change has the revision Stamp or, if Stamp is
// 0, the key doesn't exist.
type Condition struct {
	Path  string `cbor:"path"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is a change in a Commit: either the key Put is set to V and attached to the lease Hold, if
// that isn't 0, or the key Drop is deleted.
type Change struct {
	Put  string           `cbor:"put,omitempty"`
	V    codec.RawMessage `cbor:"v,omitempty"`
	Hold uint64           `cbor:"hold,omitempty"`
	Drop string           `cbor:"drop,omitempty"`
}

// Commit is the body of POST /commit: a transaction, which makes its changes if all its conditions
// hold.
type Commit struct {
	If    []Condition `cbor:"if"`
	Apply []Change    `cbor:"apply"`
}

// CommitResult is the body of the response to a Commit that was executed, or of whose conditions some
// failed. Ledger is the store's revision, Failed lists the keys whose conditions failed.
type CommitResult struct {
	Ledger uint64   `cbor:"ledger"`
	Failed []string `cbor:"failed"`
}

// LeaseRequest is the body of POST /leases, which grants a lease with the TTL LifeMS.
type LeaseRequest struct {
	LifeMS int64 `cbor:"life_ms"`
}

// LeaseGrant is the body of the response to a LeaseRequest. Hold is the lease's number.
type LeaseGrant struct {
	Hold uint64 `cbor:"hold"`
}

// News is the body of the response to GET /follow, which watches keys with a prefix. Ledger is the
// revision up to which the changes in News are complete.
type News struct {
	Ledger uint64      `cbor:"ledger"`
	News   []NewsEvent `cbor:"news"`
}

// NewsEvent is a change that a watch reports: either the key Put was set to V, or the key Drop was
// deleted. Stamp is the revision of the change.
type NewsEvent struct {
	Put   string           `cbor:"put"`
	V     codec.RawMessage `cbor:"v"`
	Drop  string           `cbor:"drop"`
	Stamp uint64           `cbor:"stamp"`
}
