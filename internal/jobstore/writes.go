package jobstore

import (
	"context"
	"errors"
	"slices"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// maxTxnBytes keeps a transaction below the state service's limit (PROTOCOL:
// 64 KiB in its JSON form, which is somewhat larger than CBOR).
const maxTxnBytes = 40 << 10

// transaction is what one commit asks for.
type transaction struct {
	conditions []statestore.Compare
	changes    []statestore.Op
}

// bytes is the size of the transaction's keys and values.
func (t *transaction) bytes() int {
	size := 0
	for _, change := range t.changes {
		size += len(change.Value) + len(change.Key)
	}
	return size
}

// add joins another transaction to this one.
func (t *transaction) add(other transaction) {
	t.conditions = append(t.conditions, other.conditions...)
	t.changes = append(t.changes, other.changes...)
}

// Apply writes as many of the leader's writes, in order, as one transaction
// takes. It returns those it covered, and their revision. On a conflict over
// the term, ErrDeposed (docs/design.md, "Safety arguments" 2;
// TestDeposedLeaderCannotWrite).
func (j *Jobs) Apply(ctx context.Context, term leadership.Term, writes []core.Write) ([]core.Write, uint64, error) {
	txn := transaction{conditions: []statestore.Compare{UnderTerm(term)}}
	size, count := 0, 0
	for _, write := range writes {
		part, err := encode(write)
		if err != nil {
			return nil, 0, err
		}
		size += part.bytes()
		if size > maxTxnBytes && count > 0 {
			break
		}
		txn.add(part.transaction)
		count++
	}
	sent := writes[:count]
	revision, err := j.store.Commit(ctx, txn.conditions, txn.changes)
	if errors.Is(err, statestore.ErrRejected) && count > 1 {
		return j.Apply(ctx, term, writes[:1]) // one that is refused mustn't stop the others
	}
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Keys, leadership.TermKey) {
		return sent, 0, ErrDeposed
	}
	return sent, revision, err
}

// Put writes a value of the leader's own that no other write depends on, under its term.
func (j *Jobs) Put(ctx context.Context, term leadership.Term, key string, value []byte) error {
	_, err := j.store.Commit(ctx, []statestore.Compare{UnderTerm(term)}, []statestore.Op{statestore.Put(key, value)})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return ErrDeposed
	}
	return err
}

// Drop removes a value of the leader's own, under its term.
func (j *Jobs) Drop(ctx context.Context, term leadership.Term, key string) error {
	_, err := j.store.Commit(ctx, []statestore.Compare{UnderTerm(term)}, []statestore.Op{statestore.Delete(key)})
	return err
}
