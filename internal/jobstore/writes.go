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

// maxTxnBytes bounds the keys and values of a transaction. The state service's limit is 64 KiB
// of the transaction's JSON form, which is somewhat larger than the CBOR that is counted here.
const maxTxnBytes = 40 << 10

// transaction holds the conditions and changes of one commit.
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

// add appends another transaction to this one.
func (t *transaction) add(other transaction) {
	t.conditions = append(t.conditions, other.conditions...)
	t.changes = append(t.changes, other.changes...)
}

// Applied is what a transaction of the leader's writes covered.
type Applied struct {
	Sent     []core.Write // the writes that were sent, the first ones of those that were given
	Revision uint64       // of the transaction; 0 unless it was carried out
}

// Apply carries out as many of the leader's writes as one transaction takes, in their order,
// under the condition of the leader's term. The caller applies the others again. What was sent
// is told also with an error.
//
// If the term is over, the error is ErrDeposed and nothing was written (docs/design.md, "Safety
// arguments" 2; TestDeposedLeaderCannotWrite). On statestore.ErrRejected the covered writes are
// a single one, which can't ever be written.
func (j *Jobs) Apply(ctx context.Context, term leadership.Term, writes []core.Write) (Applied, error) {
	txn, count, err := joinWrites(writes)
	if err != nil {
		return Applied{}, err
	}
	revision, err := j.commitUnderTerm(ctx, term, txn)
	if errors.Is(err, statestore.ErrRejected) && count > 1 {
		return j.Apply(ctx, term, writes[:1]) // a write that is rejected mustn't hold up the others
	}
	return Applied{Sent: writes[:count], Revision: revision}, err
}

// joinWrites encodes as many writes as one transaction takes, one at least, and returns how
// many these are.
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

// Put stores a value of the leader's own, whatever the key held before. The error is ErrDeposed
// if the leader's term is over.
func (j *Jobs) Put(ctx context.Context, term leadership.Term, key string, value []byte) error {
	_, err := j.commitUnderTerm(ctx, term, transaction{changes: []statestore.Op{statestore.Put(key, value)}})
	return err
}

// Delete deletes a key of the leader's own, whatever it held. The error is ErrDeposed if the
// leader's term is over.
func (j *Jobs) Delete(ctx context.Context, term leadership.Term, key string) error {
	_, err := j.commitUnderTerm(ctx, term, transaction{changes: []statestore.Op{statestore.Delete(key)}})
	return err
}

// commitUnderTerm commits a transaction under the further condition that a leader's term isn't
// over, and returns its revision. The error is ErrDeposed if that condition failed, and a
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
