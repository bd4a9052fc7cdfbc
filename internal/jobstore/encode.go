package jobstore

import (
	"context"
	"errors"
	"fmt"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/statestore"
)

// encodedWrite is one of the leader's writes, encoded as a transaction of the store. It implements
// core.WriteEncoder: a write encodes itself by calling the method of its kind (core.Write.Encode).
type encodedWrite struct {
	transaction
	pageKey string // key of the page on whose version the write is conditional; empty if there is none
}

// encode turns one of the leader's writes into a transaction.
func encode(write core.Write) (encodedWrite, error) {
	var encoded encodedWrite
	err := write.Encode(&encoded)
	return encoded, err
}

// PutStartLogPage implements core.WriteEncoder.
func (e *encodedWrite) PutStartLogPage(w core.PutStartLogPage) error {
	return e.putPage(startLogKey(w.Name), w.Record, w.Version)
}

// DeleteStartLogPage implements core.WriteEncoder.
func (e *encodedWrite) DeleteStartLogPage(w core.DeleteStartLogPage) error {
	return e.deletePage(startLogKey(w.Name), w.Version)
}

// PutJob implements core.WriteEncoder.
func (e *encodedWrite) PutJob(w core.PutJob) error {
	return e.putVersion(JobPrefix+w.Ref, w.Record, w.Version)
}

// PutDoneRanges implements core.WriteEncoder.
func (e *encodedWrite) PutDoneRanges(w core.PutDoneRanges) error {
	return e.put(chunkKey(w.Ref, w.Chunk), w.Runs)
}

// DeleteDoneRanges implements core.WriteEncoder.
func (e *encodedWrite) DeleteDoneRanges(w core.DeleteDoneRanges) error {
	e.delete(chunkKey(w.Ref, w.Chunk))
	return nil
}

// DeleteDependencyPage implements core.WriteEncoder.
func (e *encodedWrite) DeleteDependencyPage(w core.DeleteDependencyPage) error {
	e.delete(dependencyKey(w.Ref, w.ListHash, w.Page))
	return nil
}

// PutFinal implements core.WriteEncoder. The final entry replaces the record.
func (e *encodedWrite) PutFinal(w core.PutFinal) error {
	err := e.putVersion(finalPrefix+w.Ref, w.Final, 0)
	e.deleteVersion(JobPrefix+w.Ref, w.Version)
	return err
}

// PutImagePage implements core.WriteEncoder. It isn't conditional on a version: only the leader
// writes these pages, one transaction at a time, and they are merely hints.
func (e *encodedWrite) PutImagePage(w core.PutImagePage) error {
	return e.put(imagePrefix+w.Name, w.Record)
}

// DeleteImagePage implements core.WriteEncoder.
func (e *encodedWrite) DeleteImagePage(w core.DeleteImagePage) error {
	e.delete(imagePrefix + w.Name)
	return nil
}

// PutChargePage implements core.WriteEncoder.
func (e *encodedWrite) PutChargePage(w core.PutChargePage) error {
	return e.putPage(chargePrefix+w.Name, w.Record, w.Version)
}

// DeleteChargePage implements core.WriteEncoder.
func (e *encodedWrite) DeleteChargePage(w core.DeleteChargePage) error {
	return e.deletePage(chargePrefix+w.Name, w.Version)
}

// PutDrainMachinePage implements core.WriteEncoder.
func (e *encodedWrite) PutDrainMachinePage(w core.PutDrainMachinePage) error {
	return e.putPage(cordonPrefix+w.Name, w.Record, w.Version)
}

// DeleteDrainMachinePage implements core.WriteEncoder.
func (e *encodedWrite) DeleteDrainMachinePage(w core.DeleteDrainMachinePage) error {
	return e.deletePage(cordonPrefix+w.Name, w.Version)
}

// putPage stores a page if it has the given version; PageVersion can read its version anew.
func (e *encodedWrite) putPage(key string, record any, version uint64) error {
	e.pageKey = key
	return e.putVersion(key, record, version)
}

// deletePage deletes a page if it has the given version; PageVersion can read its version anew.
func (e *encodedWrite) deletePage(key string, version uint64) error {
	e.pageKey = key
	e.deleteVersion(key, version)
	return nil
}

// putVersion stores a record if the key has the given version; 0 means that it doesn't exist.
func (e *encodedWrite) putVersion(key string, record any, version uint64) error {
	e.conditions = append(e.conditions, statestore.Compare{Key: key, ModRevision: version})
	return e.put(key, record)
}

// put stores a record unconditionally.
func (e *encodedWrite) put(key string, record any) error {
	value, err := codec.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	e.changes = append(e.changes, statestore.Put(key, value))
	return nil
}

// deleteVersion deletes a key if it has the given version; 0 means that it doesn't exist.
func (e *encodedWrite) deleteVersion(key string, version uint64) {
	e.conditions = append(e.conditions, statestore.Compare{Key: key, ModRevision: version})
	e.delete(key)
}

// delete deletes a key unconditionally.
func (e *encodedWrite) delete(key string) { e.changes = append(e.changes, statestore.Delete(key)) }

// ErrNoPageVersion reports that a write isn't conditional on the version of a page: it is not of a
// page, or is of a page that is written unconditionally.
var ErrNoPageVersion = errors.New("the write isn't conditional on a page's version")

// PageVersion reads the current version of the page that a write puts or deletes; it is 0 if the
// page doesn't exist. The error is ErrNoPageVersion if the write isn't conditional on the version of
// a page.
func (j *Jobs) PageVersion(ctx context.Context, write core.Write) (uint64, error) {
	encoded, err := encode(write)
	if err != nil {
		return 0, err
	}
	if encoded.pageKey == "" {
		return 0, ErrNoPageVersion
	}
	page, _, err := j.store.Get(ctx, encoded.pageKey)
	return page.ModRevision, err
}
