// Package jobstore lays the jobs' and machines' records out in the state
// service, and keeps the rules of who may change them: a job is created once,
// cancelled by compare-and-set, and otherwise written by the leader alone,
// under the condition of its term.
package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// Prefixes of keys: unfinished jobs, final entries, further done ranges, long lists
// of the jobs that a job waits for, pages of the start log and of the image log, and the records by machine that earlier versions kept instead.
const (
	JobPrefix     = "j/"
	finalPrefix   = "f/"
	chunkPrefix   = "d/"
	awaitPrefix   = "a/"
	pagePrefix    = "s/"
	imagePrefix   = "i/"
	machinePrefix = "m/"
)

// Errors of the job store.
var (
	ErrExists     = errors.New("job exists")
	ErrUnknownJob = errors.New("unknown job")
	ErrDeposed    = errors.New("the term is over")
	ErrNotOurs    = errors.New("another node leads")
	ErrParent     = errors.New("a job to wait for is unknown, a service or the job itself")
	ErrTooLarge   = errors.New("too large to be stored")
	ErrInDoubt    = errors.New("the change may have been made, or may yet be")
)

// Limits are what the state service takes.
type Limits struct {
	ValueBytes int
	TxnOps     int
	SureFor    time.Duration // how long it counts that a job was seen not to be cancelled
}

// Store is what the job store needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statestore.Item, bool, error)
	List(ctx context.Context, prefix string) ([]statestore.Item, uint64, error)
	Commit(ctx context.Context, conds []wire.Condition, changes []wire.Change) (uint64, error)
}

// Jobs is the job store.
type Jobs struct {
	store  Store
	limits Limits

	mu     sync.Mutex
	finals map[string]pipeline.Final // final entries never change
	known  map[string]bool           // jobs that were accepted and are no services, the same
	sure   map[string]time.Time      // when jobs, and all that they need, weren't cancelled
}

// New makes a job store.
func New(s Store, l Limits) *Jobs {
	return &Jobs{store: s, limits: l, finals: map[string]pipeline.Final{}, known: map[string]bool{}, sure: map[string]time.Time{}}
}

// maxFinals bounds the final entries kept at hand.
const maxFinals = 5_000

func (j *Jobs) remember(ref string, f pipeline.Final) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.finals) >= maxFinals {
		clear(j.finals)
	}
	j.finals[ref] = f
}

func (j *Jobs) remembered(ref string) (pipeline.Final, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f, ok := j.finals[ref]
	return f, ok
}

// State is what the store holds of a job.
type State struct {
	Found   bool
	Over    bool // the final entry was found
	Phase   pipeline.Phase
	Done    int
	Record  pipeline.Record // if not over
	Version uint64
	Final   pipeline.Final // if over
}

// Create writes a new job that waits for others, which CheckParents has found.
// ErrExists says that the job is known already.
func (j *Jobs) Create(ctx context.Context, spec pipeline.Spec, awaits []string, now time.Time) error {
	rec := pipeline.Record{Spec: spec, SubmittedMS: now.UnixMilli()}
	if rec.Bytes() > j.limits.ValueBytes {
		st, err := j.Load(ctx, spec.Ref) // accepted when values could be larger?
		switch {
		case err != nil:
			return err
		case st.Found:
			return ErrExists
		}
		return ErrTooLarge
	}
	if err := j.putAwaits(ctx, &rec, awaits); err != nil {
		return err
	}
	v, err := wire.Marshal(rec)
	if err != nil {
		return fmt.Errorf("job %s: %w", spec.Ref, err)
	}
	_, err = j.store.Commit(ctx,
		[]wire.Condition{{Path: JobPrefix + spec.Ref}, {Path: finalPrefix + spec.Ref}},
		[]wire.Change{{Put: JobPrefix + spec.Ref, V: v}})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return ErrExists
	}
	if err == nil && spec.Shape != pipeline.Service {
		j.know(spec.Ref) // its user may name it next
	}
	return err
}

// Load reads a job. The record is read before the final entry that takes its
// place, so a job is never missed between the two.
func (j *Jobs) Load(ctx context.Context, ref string) (State, error) {
	if f, ok := j.remembered(ref); ok {
		return finalState(f), nil
	}
	it, found, err := j.store.Get(ctx, JobPrefix+ref)
	if err != nil {
		return State{}, err
	}
	if found {
		st := State{Found: true, Version: it.Stamp}
		if err := wire.Unmarshal(it.V, &st.Record); err != nil {
			return State{}, fmt.Errorf("job %s: %w", ref, err)
		}
		st.Phase = st.Record.Phase
		for i := 1; i < len(st.Record.Done); i += 2 {
			st.Done += st.Record.Done[i]
		}
		return st, j.readAwaits(ctx, &st.Record)
	}
	return j.loadFinal(ctx, ref)
}

// LoadOver reads a job that most likely is over.
func (j *Jobs) LoadOver(ctx context.Context, ref string) (State, error) {
	if st, err := j.loadFinal(ctx, ref); err != nil || st.Found {
		return st, err
	}
	return j.Load(ctx, ref)
}

func (j *Jobs) loadFinal(ctx context.Context, ref string) (State, error) {
	it, found, err := j.store.Get(ctx, finalPrefix+ref)
	if err != nil || !found {
		return State{}, err
	}
	var f pipeline.Final
	if err := wire.Unmarshal(it.V, &f); err != nil {
		return State{}, fmt.Errorf("job %s: %w", ref, err)
	}
	j.remember(ref, f)
	return finalState(f), nil
}

func finalState(f pipeline.Final) State {
	st := State{Found: true, Over: true, Phase: f.Phase, Final: f}
	if f.Phase == pipeline.Done {
		st.Done = f.Tasks
	}
	return st
}

// cancelTries bounds the races of one cancellation with the leader's writes.
const cancelTries = 4

// Cancel cancels a job unless it is done; it returns what then holds. Against
// the leader's writes the record's version decides. The guard makes sure that
// no leader goes on telling users an older state: it is the leader's own term,
// or that nobody holds the place.
func (j *Jobs) Cancel(ctx context.Context, ref string, now time.Time, guard wire.Condition) (State, error) {
	for range cancelTries {
		st, err := j.Load(ctx, ref)
		switch {
		case err != nil:
			return st, err
		case !st.Found:
			return st, ErrUnknownJob
		case st.Phase != pipeline.Active:
			return st, nil
		}
		st.Phase = pipeline.Cancelled
		j.cancelled(&st.Record, now)
		v, err := wire.Marshal(st.Record)
		if err != nil {
			return st, fmt.Errorf("job %s: %w", ref, err)
		}
		rev, err := j.store.Commit(ctx, []wire.Condition{guard, {Path: JobPrefix + ref, Stamp: st.Version}},
			[]wire.Change{{Put: JobPrefix + ref, V: v}})
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			st.Version = rev
			return st, nil
		case errors.Is(err, statestore.ErrUnavailable), errors.Is(err, statestore.ErrRefused):
			return st, err
		case !errors.As(err, &conflict):
			return st, fmt.Errorf("%w: %w", ErrInDoubt, err)
		case slices.Contains(conflict.Failed, guard.Path):
			return st, ErrNotOurs
		}
	}
	return State{}, fmt.Errorf("job %s: record keeps changing", ref)
}

// CancelEvent is what a leader's engine hears of the outcome of Cancel.
func CancelEvent(ref string, st State, err error) core.Event {
	switch {
	case err != nil:
		return core.CancelOutcome{Ref: ref, Unknown: errors.Is(err, ErrInDoubt), Version: st.Version}
	case st.Over:
		return core.JobFinal{Ref: ref, Final: st.Final}
	}
	return core.JobStored{Job: core.StoredJob{Record: st.Record, Version: st.Version}}
}

// cancelled turns a job's record into that of a cancelled one. What no longer
// matters is left out, the description too if the record was written when values
// could be larger.
func (j *Jobs) cancelled(r *pipeline.Record, now time.Time) {
	r.Phase, r.CancelledMS = pipeline.Cancelled, now.UnixMilli()
	r.Done, r.Restarts, r.Dependencies = nil, nil, nil
	if r.Bytes() > j.limits.ValueBytes {
		r.Spec.Class, r.Spec.Image, r.Spec.Zone, r.Spec.Types = "", "", "", nil
	}
}

// UnderTerm is the guard of a cancellation by the leader itself.
func UnderTerm(t leadership.Term) wire.Condition {
	return wire.Condition{Path: leadership.TermKey, Stamp: t.Stamp}
}

// ReadJob turns a job's item into what the core takes.
func (j *Jobs) ReadJob(ctx context.Context, it statestore.Item) (core.StoredJob, error) {
	s := core.StoredJob{Version: it.Stamp}
	if err := wire.Unmarshal(it.V, &s.Record); err != nil {
		return s, fmt.Errorf("%s: %w", it.Path, err)
	}
	return s, j.readAwaits(ctx, &s.Record)
}

// Snapshot reads all that a new leader needs, and the revision to watch on from.
func (j *Jobs) Snapshot(ctx context.Context) (core.Snapshot, uint64, error) {
	var snap core.Snapshot
	jobs, ledger, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return snap, 0, err
	}
	chunks, _, err := j.store.List(ctx, chunkPrefix)
	if err != nil {
		return snap, 0, err
	}
	pages, _, err := j.store.List(ctx, pagePrefix)
	if err != nil {
		return snap, 0, err
	}
	machines, _, err := j.store.List(ctx, machinePrefix)
	if err != nil {
		return snap, 0, err
	}
	images, _, err := j.store.List(ctx, imagePrefix)
	if err != nil {
		return snap, 0, err
	}
	byJob := map[string]map[int][]int{}
	for _, it := range chunks {
		ref, num, ok := strings.Cut(strings.TrimPrefix(it.Path, chunkPrefix), "/")
		n, err := strconv.Atoi(num)
		var runs []int
		if !ok || err != nil || wire.Unmarshal(it.V, &runs) != nil {
			return snap, 0, fmt.Errorf("unreadable key %s", it.Path)
		}
		if byJob[ref] == nil {
			byJob[ref] = map[int][]int{}
		}
		byJob[ref][n] = runs
	}
	for _, it := range jobs {
		s, err := j.ReadJob(ctx, it)
		if err != nil {
			return snap, 0, err
		}
		s.Chunks = byJob[s.Record.Spec.Ref]
		snap.Jobs = append(snap.Jobs, s)
	}
	for _, it := range pages {
		p := core.StoredPage{Name: strings.TrimPrefix(it.Path, pagePrefix), Version: it.Stamp}
		if err := wire.Unmarshal(it.V, &p.Record); err != nil {
			return snap, 0, fmt.Errorf("%s: %w", it.Path, err)
		}
		snap.Pages = append(snap.Pages, p)
	}
	for _, it := range images {
		p := core.StoredImages{Name: strings.TrimPrefix(it.Path, imagePrefix)}
		if err := wire.Unmarshal(it.V, &p.Record); err != nil {
			return snap, 0, fmt.Errorf("%s: %w", it.Path, err)
		}
		snap.Images = append(snap.Images, p)
	}
	for _, it := range machines {
		p, err := oldRecord(it)
		if err != nil {
			return snap, 0, err
		}
		snap.Pages = append(snap.Pages, p)
	}
	return snap, ledger, nil
}

// oldRecord reads the record of one machine, which earlier versions kept in
// place of the start log, as a page. Its name is its key.
func oldRecord(it statestore.Item) (core.StoredPage, error) {
	var r struct {
		Type    string        `cbor:"ty"`
		Zone    string        `cbor:"zo"`
		Spot    bool          `cbor:"so"`
		Entries []fleet.Entry `cbor:"e"`
	}
	if err := wire.Unmarshal(it.V, &r); err != nil {
		return core.StoredPage{}, fmt.Errorf("%s: %w", it.Path, err)
	}
	return core.StoredPage{Name: it.Path, Version: it.Stamp, Record: fleet.Record{Placed: []fleet.Placed{
		{Machine: strings.TrimPrefix(it.Path, machinePrefix), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Entries: r.Entries}}}}, nil
}

func pageKey(name string) string {
	if strings.HasPrefix(name, machinePrefix) {
		return name
	}
	return pagePrefix + name
}

// maxTxnBytes keeps a transaction below the state service's limit (PROTOCOL:
// 64 KiB in its JSON form, which is somewhat larger than CBOR).
const maxTxnBytes = 40 << 10

// Apply writes as many of the leader's writes, in order, as one transaction
// takes. It returns those it covered, and their revision. On a conflict over
// the term, ErrDeposed.
func (j *Jobs) Apply(ctx context.Context, t leadership.Term, writes []core.Write) ([]core.Write, uint64, error) {
	conds := []wire.Condition{{Path: leadership.TermKey, Stamp: t.Stamp}}
	var changes []wire.Change
	size, n := 0, 0
	for _, w := range writes {
		cs, chs, err := encode(w)
		if err != nil {
			return nil, 0, err
		}
		for _, c := range chs {
			size += len(c.V) + len(c.Put) + len(c.Drop)
		}
		if size > maxTxnBytes && n > 0 {
			break
		}
		conds, changes = append(conds, cs...), append(changes, chs...)
		n++
	}
	rev, err := j.store.Commit(ctx, conds, changes)
	if errors.Is(err, statestore.ErrRefused) && n > 1 {
		return j.Apply(ctx, t, writes[:1]) // one that is refused mustn't stop the others
	}
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		if slices.Contains(conflict.Failed, leadership.TermKey) {
			return writes[:n], 0, ErrDeposed
		}
	}
	return writes[:n], rev, err
}

func encode(w core.Write) ([]wire.Condition, []wire.Change, error) {
	put := func(key string, v any, version uint64) ([]wire.Condition, []wire.Change, error) {
		b, err := wire.Marshal(v)
		return []wire.Condition{{Path: key, Stamp: version}}, []wire.Change{{Put: key, V: b}}, err
	}
	switch w.Kind {
	case core.WritePage:
		return put(pageKey(w.Name), w.Page, w.Version)
	case core.DropPage:
		key := pageKey(w.Name)
		return []wire.Condition{{Path: key, Stamp: w.Version}}, []wire.Change{{Drop: key}}, nil
	case core.WriteJob:
		return put(JobPrefix+w.Name, w.Job, w.Version)
	case core.WriteFinal:
		conds, changes, err := put(finalPrefix+w.Name, w.Final, 0)
		key := JobPrefix + w.Name
		return append(conds, wire.Condition{Path: key, Stamp: w.Version}), append(changes, wire.Change{Drop: key}), err
	case core.WriteChunk:
		b, err := wire.Marshal(w.Runs)
		return nil, []wire.Change{{Put: chunkKey(w), V: b}}, err
	case core.WriteImages: // only the leader writes these, one after the other
		b, err := wire.Marshal(w.Images)
		return nil, []wire.Change{{Put: imagePrefix + w.Name, V: b}}, err
	case core.DropImages:
		return nil, []wire.Change{{Drop: imagePrefix + w.Name}}, nil
	case core.DropChunk:
		return nil, []wire.Change{{Drop: chunkKey(w)}}, nil
	case core.DropDependencies:
		return nil, []wire.Change{{Drop: awaitKey(w.Name, w.Sum, w.Chunk)}}, nil
	}
	return nil, nil, fmt.Errorf("unknown write %d", w.Kind)
}

func chunkKey(w core.Write) string { return fmt.Sprintf("%s%s/%05d", chunkPrefix, w.Name, w.Chunk) }

// PageVersion reads the version of a page of the start log; 0 if there is none.
func (j *Jobs) PageVersion(ctx context.Context, name string) (uint64, error) {
	it, _, err := j.store.Get(ctx, pageKey(name))
	return it.Stamp, err
}
