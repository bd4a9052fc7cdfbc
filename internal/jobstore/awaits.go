package jobstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// fewParents is how many jobs are looked up one by one; beyond that, all unfinished
// jobs are read at once.
const fewParents = 6

// maxKnown bounds the jobs kept at hand that are known to have been accepted.
const maxKnown = 20_000

// CheckParents makes sure that a job may wait for some others: each was accepted,
// whatever became of it, and is no service. ErrExists says that the job itself is
// known already, and so accepted with the list that it had then.
func (j *Jobs) CheckParents(ctx context.Context, ref string, awaits []string) error {
	err := j.checkParents(ctx, ref, awaits)
	if !errors.Is(err, ErrParent) {
		return err
	}
	st, lerr := j.Load(ctx, ref)
	switch {
	case lerr != nil:
		return lerr
	case st.Found:
		return ErrExists
	}
	return err
}

func (j *Jobs) checkParents(ctx context.Context, ref string, awaits []string) error {
	left := make([]string, 0, len(awaits))
	for _, a := range awaits {
		if a == ref || !wire.ValidRef(a) {
			return ErrParent
		}
		if !j.isKnown(a) {
			left = append(left, a)
		}
	}
	if len(left) > fewParents {
		return j.checkMany(ctx, left)
	}
	g, ctx := errgroup.WithContext(ctx) // side by side: some answers take long
	for _, a := range left {
		g.Go(func() error { return j.checkOne(ctx, a) })
	}
	return g.Wait()
}

func (j *Jobs) checkOne(ctx context.Context, ref string) error {
	st, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return err
	case !st.Found || st.Record.Spec.Shape == pipeline.Service:
		return ErrParent
	}
	j.know(ref)
	return nil
}

// checkMany looks at all unfinished jobs first, and then asks the store which of the
// others have final entries: those whose absence, made a condition, fails.
func (j *Jobs) checkMany(ctx context.Context, refs []string) error {
	items, _, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return err
	}
	active := make(map[string]statestore.Item, len(items))
	for _, it := range items {
		active[strings.TrimPrefix(it.Path, JobPrefix)] = it
	}
	var left []string
	for _, ref := range refs {
		it, ok := active[ref]
		if !ok {
			left = append(left, ref)
			continue
		}
		var rec pipeline.Record
		if err := wire.Unmarshal(it.V, &rec); err != nil {
			return fmt.Errorf("job %s: %w", ref, err)
		}
		if rec.Spec.Shape == pipeline.Service {
			return ErrParent
		}
		j.know(ref)
	}
	const condsPerOp = 4 // PROTOCOL: four times as many conditions as changes
	for most := condsPerOp * j.limits.TxnOps; len(left) > 0; {
		some := left[:min(most, len(left))]
		left = left[len(some):]
		conds := make([]wire.Condition, len(some))
		for i, ref := range some {
			conds[i].Path = finalPrefix + ref
		}
		_, err := j.store.Commit(ctx, conds, nil)
		var there *statestore.ConflictError
		if err != nil && !errors.As(err, &there) {
			return err
		}
		if there == nil || len(there.Failed) < len(some) {
			return ErrParent
		}
		for _, ref := range some {
			j.know(ref)
		}
	}
	return nil
}

// InDoubt tells whether a job that is said to wait must be cancelled with one that
// it needs: the leader has yet to write that, and until then nobody may be told that it
// waits. An error says that it can't be found out in time; what was found out is kept
// for the next question.
func (j *Jobs) InDoubt(ctx context.Context, st State, now time.Time) (bool, error) {
	if st.Over || !st.Record.Held() {
		return false, nil
	}
	_, none, err := j.noneCancelled(ctx, st.Record.Dependencies, now)
	return !none, err
}

// noneCancelled tells whether, as of some moment, none of some jobs was cancelled, nor
// any that they need.
func (j *Jobs) noneCancelled(ctx context.Context, refs []string, now time.Time) (asOf time.Time, none bool, err error) {
	asOf = now
	for _, ref := range refs {
		t, ok, err := j.notCancelled(ctx, ref, now)
		if !ok || err != nil {
			return t, false, err
		}
		if t.Before(asOf) {
			asOf = t
		}
	}
	return asOf, true, nil
}

func (j *Jobs) notCancelled(ctx context.Context, ref string, now time.Time) (asOf time.Time, ok bool, err error) {
	if t, known := j.sureSince(ref); known && now.Sub(t) < j.limits.SureFor {
		return t, true, nil
	}
	p, err := j.Load(ctx, ref)
	if err != nil || p.Phase == pipeline.Cancelled {
		return now, false, err
	}
	asOf, ok = now, true
	if !p.Over && p.Record.Held() {
		asOf, ok, err = j.noneCancelled(ctx, p.Record.Dependencies, now)
	}
	if ok && err == nil {
		j.mu.Lock()
		defer j.mu.Unlock()
		if len(j.sure) >= maxKnown {
			clear(j.sure)
		}
		j.sure[ref] = asOf
	}
	return asOf, ok, err
}

func (j *Jobs) sureSince(ref string) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, known := j.sure[ref]
	return t, known
}

func (j *Jobs) know(ref string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.known) >= maxKnown {
		clear(j.known)
	}
	j.known[ref] = true
}

func (j *Jobs) isKnown(ref string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.known[ref]
}

func awaitKey(ref, sum string, page int) string {
	return fmt.Sprintf("%s%s/%s-%05d", awaitPrefix, ref, sum, page)
}

// putAwaits puts the jobs that a job waits for into its record, or, if they would
// make it too large, on pages of their own. Those are written before the record,
// which alone makes them count; a retry leaves those that are there.
func (j *Jobs) putAwaits(ctx context.Context, rec *pipeline.Record, awaits []string) error {
	if len(awaits) == 0 {
		return nil
	}
	if rec.Bytes()+pipeline.DependencyBytes(awaits) <= j.limits.ValueBytes {
		rec.Dependencies = awaits
		return nil
	}
	sum := sha256.Sum256([]byte(strings.Join(awaits, " ")))
	rec.DependencyListSum = hex.EncodeToString(sum[:8])
	var pages [][]string
	for rest := awaits; len(rest) > 0; {
		n := 1
		for n < len(rest) && pipeline.DependencyBytes(rest[:n+1]) <= j.limits.ValueBytes {
			n++
		}
		pages, rest = append(pages, rest[:n]), rest[n:]
	}
	rec.DependencyPages = len(pages)
	there, _, err := j.store.List(ctx, awaitPrefix+rec.Spec.Ref+"/"+rec.DependencyListSum+"-")
	if err != nil {
		return err
	}
	have := map[string]bool{}
	for _, it := range there {
		have[it.Path] = true
	}
	for i, p := range pages {
		key := awaitKey(rec.Spec.Ref, rec.DependencyListSum, i)
		if have[key] {
			continue
		}
		if _, err := j.store.Commit(ctx, nil, []wire.Change{{Put: key, V: wire.MustMarshal(p)}}); err != nil {
			return err
		}
	}
	return nil
}

// readAwaits completes a record of a job that waits for others by the pages of its
// list.
func (j *Jobs) readAwaits(ctx context.Context, rec *pipeline.Record) error {
	if !rec.Held() || rec.DependencyPages == 0 {
		return nil
	}
	items, _, err := j.store.List(ctx, awaitPrefix+rec.Spec.Ref+"/"+rec.DependencyListSum+"-")
	if err != nil {
		return err
	}
	if len(items) != rec.DependencyPages {
		return fmt.Errorf("job %s: %d pages of jobs to wait for, not %d", rec.Spec.Ref, len(items), rec.DependencyPages)
	}
	rec.Dependencies = nil
	for _, it := range items {
		var refs []string
		if err := wire.Unmarshal(it.V, &refs); err != nil {
			return fmt.Errorf("%s: %w", it.Path, err)
		}
		rec.Dependencies = append(rec.Dependencies, refs...)
	}
	return nil
}
