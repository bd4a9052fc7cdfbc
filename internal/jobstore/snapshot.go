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

// Snapshot reads all that a new leader needs, and the revision to watch on from.
func (j *Jobs) Snapshot(ctx context.Context) (core.Snapshot, uint64, error) {
	var snapshot core.Snapshot
	items, revision, err := j.listAll(ctx)
	if err != nil {
		return snapshot, 0, err
	}
	if snapshot.Jobs, err = j.readJobs(ctx, items); err != nil {
		return snapshot, 0, err
	}
	if snapshot.Pages, err = readPages(items); err != nil {
		return snapshot, 0, err
	}
	if snapshot.Images, err = readImages(items[imagePrefix]); err != nil {
		return snapshot, 0, err
	}
	return snapshot, revision, nil
}

// itemsByPrefix are all items of a snapshot, by the prefix of their keys.
type itemsByPrefix map[string][]statestore.KeyValue

// listAll reads the items, jobs first: the revision is that of the list of jobs, so
// that watching on from it misses none.
func (j *Jobs) listAll(ctx context.Context) (itemsByPrefix, uint64, error) {
	jobs, revision, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return nil, 0, err
	}
	items := itemsByPrefix{JobPrefix: jobs}
	for _, prefix := range []string{chunkPrefix, pagePrefix, machinePrefix, imagePrefix} {
		if items[prefix], _, err = j.store.List(ctx, prefix); err != nil {
			return nil, 0, err
		}
	}
	return items, revision, nil
}

// readJobs reads the jobs' records, each with its further done ranges.
func (j *Jobs) readJobs(ctx context.Context, items itemsByPrefix) ([]core.StoredJob, error) {
	chunks, err := readChunks(items[chunkPrefix])
	if err != nil {
		return nil, err
	}
	var jobs []core.StoredJob
	for _, item := range items[JobPrefix] {
		job, err := j.ReadJob(ctx, item)
		if err != nil {
			return nil, err
		}
		job.Chunks = chunks[job.Record.Spec.Ref]
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// readChunks reads the done ranges beyond the records', by job and number of the chunk.
func readChunks(items []statestore.KeyValue) (map[string]map[int][]int, error) {
	byJob := map[string]map[int][]int{}
	for _, item := range items {
		ref, number, ok := strings.Cut(strings.TrimPrefix(item.Key, chunkPrefix), "/")
		chunk, err := strconv.Atoi(number)
		var runs []int
		if !ok || err != nil || codec.Unmarshal(item.Value, &runs) != nil {
			return nil, fmt.Errorf("unreadable key %s", item.Key)
		}
		if byJob[ref] == nil {
			byJob[ref] = map[int][]int{}
		}
		byJob[ref][chunk] = runs
	}
	return byJob, nil
}

// readPages reads the start log, and after it the records by machine of earlier
// versions.
func readPages(items itemsByPrefix) ([]core.StoredPage, error) {
	var pages []core.StoredPage
	for _, item := range items[pagePrefix] {
		page := core.StoredPage{Name: strings.TrimPrefix(item.Key, pagePrefix), Version: item.ModRevision}
		if err := codec.Unmarshal(item.Value, &page.Record); err != nil {
			return nil, fmt.Errorf("%s: %w", item.Key, err)
		}
		pages = append(pages, page)
	}
	for _, item := range items[machinePrefix] {
		page, err := readMachineRecord(item)
		if err != nil {
			return nil, err
		}
		pages = append(pages, page)
	}
	return pages, nil
}

// readMachineRecord reads the record of one machine, which earlier versions kept in
// place of the start log, as a page. Its name is its key.
func readMachineRecord(item statestore.KeyValue) (core.StoredPage, error) {
	var record struct {
		Type    string                `cbor:"ty"`
		Zone    string                `cbor:"zo"`
		Spot    bool                  `cbor:"so"`
		Entries []fleet.StartLogEntry `cbor:"e"`
	}
	if err := codec.Unmarshal(item.Value, &record); err != nil {
		return core.StoredPage{}, fmt.Errorf("%s: %w", item.Key, err)
	}
	machine := fleet.MachineStarts{
		Machine: strings.TrimPrefix(item.Key, machinePrefix),
		Type:    record.Type, Zone: record.Zone, Spot: record.Spot, Entries: record.Entries,
	}
	return core.StoredPage{Name: item.Key, Version: item.ModRevision, Record: fleet.StartLogRecord{Placed: []fleet.MachineStarts{machine}}}, nil
}

// readImages reads the image log.
func readImages(items []statestore.KeyValue) ([]core.StoredImages, error) {
	var pages []core.StoredImages
	for _, item := range items {
		page := core.StoredImages{Name: strings.TrimPrefix(item.Key, imagePrefix)}
		if err := codec.Unmarshal(item.Value, &page.Record); err != nil {
			return nil, fmt.Errorf("%s: %w", item.Key, err)
		}
		pages = append(pages, page)
	}
	return pages, nil
}
