package jobstore

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/statestore"
)

// Snapshot reads the records from which a new leader's engine starts, except those of drains (see
// Drains). A watch of the jobs that starts from the returned revision misses no change.
func (j *Jobs) Snapshot(ctx context.Context) (core.Snapshot, uint64, error) {
	var snapshot core.Snapshot
	items, revision, err := j.listAll(ctx)
	if err != nil {
		return snapshot, 0, err
	}
	if snapshot.Jobs, err = j.decodeJobs(ctx, items); err != nil {
		return snapshot, 0, err
	}
	if snapshot.Pages, err = decodeStartLog(items); err != nil {
		return snapshot, 0, err
	}
	if snapshot.Images, err = decodeAll(items[imagePrefix], decodeImagePage); err != nil {
		return snapshot, 0, err
	}
	return snapshot, revision, nil
}

// itemsByPrefix holds the keys and values of a snapshot by the prefix of the keys.
type itemsByPrefix map[string][]statestore.KeyValue

// listAll lists the items of a snapshot. It lists the jobs first and returns the revision of that
// list, so that a watch of the jobs from there misses no change.
func (j *Jobs) listAll(ctx context.Context) (itemsByPrefix, uint64, error) {
	jobs, revision, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return nil, 0, err
	}
	items := itemsByPrefix{JobPrefix: jobs}
	for _, prefix := range []string{chunkPrefix, startLogPrefix, machinePrefix, imagePrefix} {
		if items[prefix], _, err = j.store.List(ctx, prefix); err != nil {
			return nil, 0, err
		}
	}
	return items, revision, nil
}

// decodeJobs decodes the jobs' records, reads their pages of dependencies, and adds the chunks of
// done ranges that are stored separately.
func (j *Jobs) decodeJobs(ctx context.Context, items itemsByPrefix) ([]core.StoredJob, error) {
	chunks, err := decodeChunks(items[chunkPrefix])
	if err != nil {
		return nil, err
	}
	return decodeAll(items[JobPrefix], func(item statestore.KeyValue) (core.StoredJob, error) {
		job, err := j.ReadJob(ctx, item)
		job.Chunks = chunks[job.Record.Spec.Ref]
		return job, err
	})
}

// decodeChunks decodes the chunks of done ranges that records have no room for, and returns them by
// job and number of the chunk.
func decodeChunks(items []statestore.KeyValue) (map[string]map[int][]int, error) {
	byJob := map[string]map[int][]int{}
	for _, item := range items {
		ref, number, _ := strings.Cut(strings.TrimPrefix(item.Key, chunkPrefix), "/")
		chunk, err := strconv.Atoi(number)
		if err != nil {
			return nil, fmt.Errorf("%w: key %s of done ranges has no number: %w", codec.ErrMalformed, item.Key, err)
		}
		var runs []int
		if err := decodeValue(item, &runs); err != nil {
			return nil, err
		}
		if byJob[ref] == nil {
			byJob[ref] = map[int][]int{}
		}
		byJob[ref][chunk] = runs
	}
	return byJob, nil
}

// decodeStartLog decodes the pages of the start log, followed by the machine records of earlier
// versions as pages.
func decodeStartLog(items itemsByPrefix) ([]core.StoredPage, error) {
	pages, err := decodeAll(items[startLogPrefix], decodeStartLogPage)
	if err != nil {
		return nil, err
	}
	machines, err := decodeAll(items[machinePrefix], decodeMachineRecord)
	if err != nil {
		return nil, err
	}
	return append(pages, machines...), nil
}

func decodeStartLogPage(item statestore.KeyValue) (core.StoredPage, error) {
	page := core.StoredPage{Name: strings.TrimPrefix(item.Key, startLogPrefix), Version: item.ModRevision}
	err := decodeValue(item, &page.Record)
	return page, err
}

// machineRecord is what earlier versions stored for each machine instead of the start log.
type machineRecord struct {
	Type    string                `cbor:"ty"`
	Zone    string                `cbor:"zo"`
	Spot    bool                  `cbor:"so"`
	Entries []fleet.StartLogEntry `cbor:"e"`
}

// decodeMachineRecord decodes the record of one machine into a page of the start log. The page's
// name is the whole key, so that startLogKey returns that key when the page is deleted.
func decodeMachineRecord(item statestore.KeyValue) (core.StoredPage, error) {
	var record machineRecord
	if err := decodeValue(item, &record); err != nil {
		return core.StoredPage{}, err
	}
	machine := fleet.MachineStarts{
		Machine: strings.TrimPrefix(item.Key, machinePrefix),
		Type:    record.Type, Zone: record.Zone, Spot: record.Spot, Entries: record.Entries,
	}
	return core.StoredPage{
		Name: item.Key, Version: item.ModRevision,
		Record: fleet.StartLogRecord{Placed: []fleet.MachineStarts{machine}},
	}, nil
}

func decodeImagePage(item statestore.KeyValue) (core.StoredImages, error) {
	page := core.StoredImages{Name: strings.TrimPrefix(item.Key, imagePrefix)}
	err := decodeValue(item, &page.Record)
	return page, err
}
