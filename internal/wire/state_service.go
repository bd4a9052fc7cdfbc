package wire

// This file mirrors the state service's interface (PROTOCOL: Controller nodes -> state service).

import "gingertally/internal/codec"

// Paths of the state service's interface. A key's own path is StorePath, a slash and the key; a lease's is
// LeasesPath, a slash and its number.
const (
	StorePath       = "/store"
	CommitPath      = "/commit"
	LeasesPath      = "/leases"
	KeepAliveSuffix = "/touch" // after a lease's path
	WatchPath       = "/follow"
)

// StoreItem is a key with its value: the body of the answer to GET /store/{key}, and a row of a StorePage. Stamp is
// the revision of the key's last change, Hold the lease that the key is attached to, 0 for none.
type StoreItem struct {
	Path  string           `cbor:"path"`
	V     codec.RawMessage `cbor:"v"`
	Stamp uint64           `cbor:"stamp"`
	Hold  uint64           `cbor:"hold"`
}

// StorePage is the body of the answer to GET /store, which reads keys with a prefix. Ledger is the store's revision.
type StorePage struct {
	Rows    []StoreItem `cbor:"rows"`
	HasNext bool        `cbor:"has_next"`
	Ledger  uint64      `cbor:"ledger"`
}

// Condition is a comparison in a Commit: the revision of the key's last change; 0 means that the key doesn't exist.
type Condition struct {
	Path  string `cbor:"path"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is a change in a Commit: either Put is set, with V and Hold, or Drop is.
type Change struct {
	Put  string           `cbor:"put,omitempty"`
	V    codec.RawMessage `cbor:"v,omitempty"`
	Hold uint64           `cbor:"hold,omitempty"`
	Drop string           `cbor:"drop,omitempty"`
}

// Commit is the body of POST /commit, a transaction.
type Commit struct {
	If    []Condition `cbor:"if"`
	Apply []Change    `cbor:"apply"`
}

// CommitResult is the body of both answers to a Commit. Failed has the keys whose conditions failed.
type CommitResult struct {
	Ledger uint64   `cbor:"ledger"`
	Failed []string `cbor:"failed"`
}

// LeaseRequest is the body of POST /leases.
type LeaseRequest struct {
	LifeMS int64 `cbor:"life_ms"`
}

// LeaseGrant is the body of the answer to a LeaseRequest.
type LeaseGrant struct {
	Hold uint64 `cbor:"hold"`
}

// News is the body of the answer to GET /follow, which watches keys with a prefix.
type News struct {
	Ledger uint64      `cbor:"ledger"`
	News   []NewsEvent `cbor:"news"`
}

// NewsEvent is one change that a watch has seen: either Put is set, with V, or Drop is.
type NewsEvent struct {
	Put   string           `cbor:"put"`
	V     codec.RawMessage `cbor:"v"`
	Drop  string           `cbor:"drop"`
	Stamp uint64           `cbor:"stamp"`
}
