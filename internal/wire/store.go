package wire

import "gingertally/internal/codec"

// StoreItem mirrors one key of the state service.
type StoreItem struct {
	Path  string           `cbor:"path"`
	V     codec.RawMessage `cbor:"v"`
	Stamp uint64           `cbor:"stamp"`
	Hold  uint64           `cbor:"hold"`
}

// StorePage mirrors a range read.
type StorePage struct {
	Rows    []StoreItem `cbor:"rows"`
	HasNext bool        `cbor:"has_next"`
	Ledger  uint64      `cbor:"ledger"`
}

// Condition demands a key's version; 0 means that the key does not exist.
type Condition struct {
	Path  string `cbor:"path"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is one put or drop.
type Change struct {
	Put  string           `cbor:"put,omitempty"`
	V    codec.RawMessage `cbor:"v,omitempty"`
	Hold uint64           `cbor:"hold,omitempty"`
	Drop string           `cbor:"drop,omitempty"`
}

// Commit mirrors POST /commit.
type Commit struct {
	If    []Condition `cbor:"if"`
	Apply []Change    `cbor:"apply"`
}

// CommitResult mirrors both answers of POST /commit.
type CommitResult struct {
	Ledger uint64   `cbor:"ledger"`
	Failed []string `cbor:"failed"`
}

// LeaseRequest and LeaseGrant mirror POST /leases.
type LeaseRequest struct {
	LifeMS int64 `cbor:"life_ms"`
}

// LeaseGrant is the answer to a LeaseRequest.
type LeaseGrant struct {
	Hold uint64 `cbor:"hold"`
}

// News mirrors the answer of GET /follow.
type News struct {
	Ledger uint64      `cbor:"ledger"`
	News   []NewsEvent `cbor:"news"`
}

// NewsEvent is one change seen by a watch.
type NewsEvent struct {
	Put   string           `cbor:"put"`
	V     codec.RawMessage `cbor:"v"`
	Drop  string           `cbor:"drop"`
	Stamp uint64           `cbor:"stamp"`
}
