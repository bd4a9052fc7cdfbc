package statestore

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// KeyValue is a key with its value, the revision of its last change and its lease.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision uint64  // revision of the key's last change
	Lease       LeaseID // the key is deleted when this lease ends
}

// Compare is a condition of a transaction: the key's last change has revision ModRevision, or the key
// doesn't exist if ModRevision is 0.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Op is one change of a transaction: a put or a delete.
type Op struct {
	Key    string
	Delete bool
	Value  []byte  // only for a put
	Lease  LeaseID // only for a put; 0 detaches the key from its lease
}

// Put returns the change that sets a key's value and attaches it to no lease.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Delete returns the change that deletes a key. It changes nothing if the key doesn't exist.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// Event is one change that a watch has seen. For a delete, only Key and ModRevision are set.
type Event struct {
	KeyValue
	Delete bool
}

// WatchResponse holds the changes that a watch has seen, in the order of their revisions, and the
// revision up to which they are complete.
type WatchResponse struct {
	Revision uint64
	Events   []Event
}
