package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"gingertally/internal/codec"
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
		txn.add(part)
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

// encode puts one of the leader's writes into the store's form.
func encode(write core.Write) (transaction, error) {
	switch write.Kind {
	case core.WritePage:
		return putVersion(pageKey(write.Name), write.Page, write.Version)
	case core.DropPage:
		return dropVersion(pageKey(write.Name), write.Version), nil
	case core.WriteJob:
		return putVersion(JobPrefix+write.Name, write.Job, write.Version)
	case core.WriteFinal:
		return encodeFinal(write)
	case core.WriteChunk:
		return put(chunkKey(write.Name, write.Chunk), write.Runs)
	case core.WriteImages: // only the leader writes these, one after the other
		return put(imagePrefix+write.Name, write.Images)
	case core.DropImages:
		return drop(imagePrefix + write.Name), nil
	case core.DropChunk:
		return drop(chunkKey(write.Name, write.Chunk)), nil
	case core.DropDependencies:
		return drop(dependencyKey(write.Name, write.Sum, write.Chunk)), nil
	case core.WriteCharges:
		return putVersion(chargePrefix+write.Name, write.Charges, write.Version)
	case core.WriteCordons:
		return putVersion(cordonPrefix+write.Name, write.Cordons, write.Version)
	case core.DropCharges, core.DropCordons:
		return dropVersion(versionedKey(write), write.Version), nil
	}
	return transaction{}, fmt.Errorf("unknown write %d", write.Kind)
}

// encodeFinal puts a job's final entry in place of its record.
func encodeFinal(write core.Write) (transaction, error) {
	txn, err := putVersion(finalPrefix+write.Name, write.Final, 0)
	key := JobPrefix + write.Name
	txn.add(transaction{[]statestore.Compare{{Key: key, ModRevision: write.Version}}, []statestore.Op{statestore.Delete(key)}})
	return txn, err
}

// putVersion writes a value over a version of it; 0 stands for none.
func putVersion(key string, value any, version uint64) (transaction, error) {
	txn, err := put(key, value)
	txn.conditions = []statestore.Compare{{Key: key, ModRevision: version}}
	return txn, err
}

// put writes a value whatever was there.
func put(key string, value any) (transaction, error) {
	encoded, err := codec.Marshal(value)
	return transaction{changes: []statestore.Op{statestore.Put(key, encoded)}}, err
}

// drop deletes a key whatever was there.
func drop(key string) transaction {
	return transaction{changes: []statestore.Op{statestore.Delete(key)}}
}

// dropVersion deletes a version of a key; 0 stands for none.
func dropVersion(key string, version uint64) transaction {
	return transaction{[]statestore.Compare{{Key: key, ModRevision: version}}, []statestore.Op{statestore.Delete(key)}}
}

// versionedKey is the key of a page that is written over a version of it; empty for all else.
func versionedKey(write core.Write) string {
	switch write.Kind {
	case core.WritePage, core.DropPage:
		return pageKey(write.Name)
	case core.WriteCharges, core.DropCharges:
		return chargePrefix + write.Name
	case core.WriteCordons, core.DropCordons:
		return cordonPrefix + write.Name
	}
	return ""
}

// PageVersion reads the version of the page that a write is about; 0 if there is none. False if
// the write is about no page that has its version checked.
func (j *Jobs) PageVersion(ctx context.Context, write core.Write) (version uint64, versioned bool, err error) {
	key := versionedKey(write)
	if key == "" {
		return 0, false, nil
	}
	item, _, err := j.store.Get(ctx, key)
	return item.ModRevision, true, err
}
