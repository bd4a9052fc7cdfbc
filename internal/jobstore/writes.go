package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// maxTxnBytes limits the total size of the keys and values of a transaction. The state service
// allows 64 KiB for the transaction's JSON form, which is somewhat larger than the CBOR counted here.
const maxTxnBytes = 40 << 10

// transaction holds the conditions and changes of one Commit.
type transaction struct {
	conditions []statestore.Compare
	changes    []statestore.Op
}

// bytes returns the size of the transaction's keys and values.
func (t *transaction) bytes() int {
	size := 0
	for _, change := range t.changes {
		size += len(change.Value) + len(change.Key)
	}
	return size
}

// add appends the conditions and changes of another transaction to this one.
func (t *transaction) add(other transaction) {
	t.conditions = append(t.conditions, other.conditions...)
	t.changes = append(t.changes, other.changes...)
}

// Applied says which of the leader's writes a transaction contained.
type Applied struct {
	Sent     []core.Write // the writes that were sent, which are the first of those passed to Apply
	Revision uint64       // revision of the transaction; 0 unless it is known to have been executed
}

// Apply sends as many of the leader's writes as fit one transaction, in their order, on the
// condition that the leader's term isn't over. The caller passes the others to another call.
// Applied.Sent is also set if the transaction fails.
//
// If the term is over, the error wraps ErrDeposed and nothing was written (docs/design.md, "Safety
// arguments" 2; TestDeposedLeaderCannotWrite). On statestore.ErrRejected, Sent holds a single write,
// which the state service will never accept.
func (j *Jobs) Apply(ctx context.Context, term leadership.Term, writes []core.Write) (Applied, error) {
	txn, count, err := joinWrites(writes)
	if err != nil {
		return Applied{}, err
	}
	revision, err := j.commitUnderTerm(ctx, term, txn)
	if errors.Is(err, statestore.ErrRejected) && count > 1 {
		return j.Apply(ctx, term, writes[:1]) // a rejected write must not block the others
	}
	return Applied{Sent: writes[:count], Revision: revision}, err
}

// joinWrites encodes as many of the first writes as fit maxTxnBytes, but at least one, into a single
// transaction, and returns their number.
func joinWrites(writes []core.Write) (txn transaction, count int, err error) {
	size := 0
	for _, write := range writes {
		part, err := encode(write)
		if err != nil {
			return transaction{}, 0, err
		}
		size += part.bytes()
		if size > maxTxnBytes && count > 0 {
			break
		}
		txn.add(part.transaction)
		count++
	}
	return txn, count, nil
}

// Put stores a value under a key that only the leader writes, on the sole condition that its term
// isn't over; if it is, the error wraps ErrDeposed.
func (j *Jobs) Put(ctx context.Context, term leadership.Term, key string, value []byte) error {
	_, err := j.commitUnderTerm(ctx, term, transaction{changes: []statestore.Op{statestore.Put(key, value)}})
	return err
}

// Delete deletes a key that only the leader writes, on the sole condition that its term isn't over;
// if it is, the error wraps ErrDeposed.
func (j *Jobs) Delete(ctx context.Context, term leadership.Term, key string) error {
	_, err := j.commitUnderTerm(ctx, term, transaction{changes: []statestore.Op{statestore.Delete(key)}})
	return err
}

// commitUnderTerm commits a transaction on the additional condition that the leader's term isn't
// over, and returns its revision. The error wraps ErrDeposed if that condition failed, and a
// *statestore.ConflictError if only others did.
func (j *Jobs) commitUnderTerm(ctx context.Context, term leadership.Term, txn transaction) (uint64, error) {
	conditions := append([]statestore.Compare{UnderTerm(term)}, txn.conditions...)
	revision, err := j.store.Commit(ctx, conditions, txn.changes)
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Keys, leadership.TermKey) {
		return 0, fmt.Errorf("commit under term %d: %w", term.Number, ErrDeposed)
	}
	return revision, err
}
