package statestore

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// KeyValue is a key with its value.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision uint64  // revision of the key's last change
	Lease       LeaseID // the key is deleted when it ends; 0: none
}

// Compare is a condition of a transaction: the key's last change has this revision, 0 meaning
// that the key doesn't exist.
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

// Put sets a key's value.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Delete deletes a key; one that doesn't exist is left alone.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// Event is one change that a watch has seen. Of a delete, only key and revision are set.
type Event struct {
	KeyValue
	Delete bool
}

// WatchResponse is what a watch has seen, and the revision up to which that is all.
type WatchResponse struct {
	Revision uint64
	Events   []Event
}
