package jobstore

import (
	"context"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/statestore"
)

// encodedWrite is one of the leader's writes in the form in which it is stored. It implements
// core.WriteEncoder: a write puts itself into it.
type encodedWrite struct {
	transaction
	pageKey string // of a page that is written over a version of it; empty for all else
}

// encode puts one of the leader's writes into the store's form.
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
	e.delete(dependencyKey(w.Ref, w.ListSum, w.Page))
	return nil
}

// PutFinal implements core.WriteEncoder: the final entry takes the place of the record.
func (e *encodedWrite) PutFinal(w core.PutFinal) error {
	err := e.putVersion(finalPrefix+w.Ref, w.Final, 0)
	e.deleteVersion(JobPrefix+w.Ref, w.Version)
	return err
}

// PutImagePage implements core.WriteEncoder. Only the leader writes these, one after the other.
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

// PutCordonPage implements core.WriteEncoder.
func (e *encodedWrite) PutCordonPage(w core.PutCordonPage) error {
	return e.putPage(cordonPrefix+w.Name, w.Record, w.Version)
}

// DeleteCordonPage implements core.WriteEncoder.
func (e *encodedWrite) DeleteCordonPage(w core.DeleteCordonPage) error {
	return e.deletePage(cordonPrefix+w.Name, w.Version)
}

// putPage writes a page over a version of it; 0 stands for none.
func (e *encodedWrite) putPage(key string, record any, version uint64) error {
	e.pageKey = key
	return e.putVersion(key, record, version)
}

// deletePage deletes a version of a page; 0 stands for none.
func (e *encodedWrite) deletePage(key string, version uint64) error {
	e.pageKey = key
	e.deleteVersion(key, version)
	return nil
}

// putVersion writes a value over a version of it; 0 stands for none.
func (e *encodedWrite) putVersion(key string, record any, version uint64) error {
	e.conditions = append(e.conditions, statestore.Compare{Key: key, ModRevision: version})
	return e.put(key, record)
}

// put writes a value whatever was there.
func (e *encodedWrite) put(key string, record any) error {
	value, err := codec.Marshal(record)
	e.changes = append(e.changes, statestore.Put(key, value))
	return err
}

// deleteVersion deletes a version of a key; 0 stands for none.
func (e *encodedWrite) deleteVersion(key string, version uint64) {
	e.conditions = append(e.conditions, statestore.Compare{Key: key, ModRevision: version})
	e.delete(key)
}

// delete deletes a key whatever was there.
func (e *encodedWrite) delete(key string) { e.changes = append(e.changes, statestore.Delete(key)) }

// PageVersion reads the version of the page that a write is about; 0 if the page doesn't exist.
// Checked is false if the write is about no page that has its version checked.
func (j *Jobs) PageVersion(ctx context.Context, write core.Write) (version uint64, checked bool, err error) {
	encoded, err := encode(write)
	if err != nil || encoded.pageKey == "" {
		return 0, false, err
	}
	page, _, err := j.store.Get(ctx, encoded.pageKey)
	return page.ModRevision, true, err
}
