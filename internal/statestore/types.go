package statestore

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// KeyValue is a key with its value.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision uint64  // revision of the key's last change
	Lease       LeaseID // the key is deleted when the lease ends; 0: none
}

// Compare is a condition of a transaction: the key's last change has this revision. 0 says that the
// key doesn't exist.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Op is one change of a transaction: a put or a delete.
type Op struct {
	Key    string
	Delete bool
	Value  []byte  // of a put
	Lease  LeaseID // of a put; 0 detaches the key from its lease
}

// Put returns the change that sets a key's value.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Delete returns the change that deletes a key. It changes nothing if the key doesn't exist.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// Event is one change that a watch has seen. A delete has only the key and its revision.
type Event struct {
	KeyValue
	Delete bool
}

// WatchResponse holds the changes that a watch has seen, in their order, and the revision up to which
// there were no others.
type WatchResponse struct {
	Revision uint64
	Events   []Event
}
