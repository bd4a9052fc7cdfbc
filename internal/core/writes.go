package core

import (
	"fmt"
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// WriteKind says what a write is about.
type WriteKind uint8

// Kinds of writes.
const (
	WritePage   WriteKind = iota // a page of the start log
	DropPage                     // a page on which nothing is left
	WriteJob                     // a job's record
	WriteChunk                   // further done ranges of a job
	WriteFinal                   // a job's final entry, in place of its record
	DropChunk                    // done ranges of a job that is over
	WriteImages                  // a page of the image log
	DropImages                   // one that speaks of no machine any more
	DropAwaits                   // a page of a long list of jobs to wait for
)

// Write is one change to the store. Its condition is Version (0: the key
// doesn't exist); chunks are covered by the version of their job's record.
type Write struct {
	Kind    WriteKind
	Name    string // job or page
	Chunk   int
	Sum     string // which list a page of jobs to wait for belongs to
	Version uint64
	Page    fleet.Record
	Job     pipeline.Record
	Final   pipeline.Final
	Runs    []int
	Images  fleet.ImageRecord
}

// chunkRef names the key of further done ranges, or of a page of jobs to wait for.
type chunkRef struct {
	kind  WriteKind
	ref   string
	sum   string
	chunk int
}

// writeQueue is what the store doesn't hold yet.
type writeQueue struct {
	pages     map[string]*fleet.Page
	fresh     []*fleet.Attempt // decided, but on no page yet
	open      *fleet.Page      // the page that takes new attempts
	dirty     map[*fleet.Page]bool
	jobs      map[*pipeline.Job]int // may have something to be written, by since when
	counter   int                   // of those
	lastJob   map[string]time.Time  // when a job's record was last written
	cleanup   []chunkRef            // done ranges of jobs that are over
	tidied    time.Time
	endsFirst bool // whose turn it is
}

func (q *writeQueue) init() {
	q.pages, q.dirty = map[string]*fleet.Page{}, map[*fleet.Page]bool{}
	q.jobs, q.lastJob = map[*pipeline.Job]int{}, map[string]time.Time{}
}

func (q *writeQueue) addPage(p *fleet.Page) { q.pages[p.Name] = p }

func (q *writeQueue) pageChanged(p *fleet.Page) {
	if p.Dirty {
		q.dirty[p] = true
	} else {
		delete(q.dirty, p)
	}
}

func (q *writeQueue) jobChanged(j *pipeline.Job) {
	if _, waits := q.jobs[j]; !waits {
		q.counter++
		q.jobs[j] = q.counter
	}
}

// jobOver notes that the store holds a job's final entry.
func (q *writeQueue) jobOver(j *pipeline.Job) {
	delete(q.jobs, j)
	delete(q.lastJob, j.Ref)
	for c := 1; c*pipeline.ChunkTasks < len(j.Tasks); c++ {
		q.cleanup = append(q.cleanup, chunkRef{kind: DropChunk, ref: j.Ref, chunk: c})
	}
	sum, pages := j.AwaitPages()
	for i := range pages {
		q.cleanup = append(q.cleanup, chunkRef{kind: DropAwaits, ref: j.Ref, sum: sum, chunk: i})
	}
}

// Pressing tells whether a start or a job's end waits for a write.
func (e *Engine) Pressing() bool {
	return len(e.writes.fresh) > 0 || len(e.writes.dirty) > 0 || len(e.writes.jobs) > 0
}

// Batch asks for the most pressing writes, at most `most` puts and drops: starts
// and jobs' ends, taking turns at going first, then partial progress, and last
// what only tidies.
func (e *Engine) Batch(now time.Time, most int) []Write {
	var out []Write
	ends, progress := e.jobsToWrite(now)
	if e.writes.endsFirst = !e.writes.endsFirst; e.writes.endsFirst {
		out = e.endWrites(now, out, ends, most)
		out = e.pageWrites(out, most)
	} else {
		out = e.pageWrites(out, most)
		out = e.endWrites(now, out, ends, most)
	}
	out = e.progressWrites(out, progress, most)
	if len(out) == 0 {
		out = e.tidy(now, out, most)
	}
	return e.imageWrite(now, out, most)
}

// pageWrites puts new attempts on pages, and writes the pages that need it.
func (e *Engine) pageWrites(out []Write, most int) []Write {
	q := &e.writes
	for i, a := range q.fresh {
		if a.State() != fleet.Intended {
			continue // withdrawn meanwhile
		}
		if q.open == nil || q.open.Sending || !q.open.Fits(a, e.cfg.MaxPerValue) {
			if len(q.dirty) >= most-changes(out) {
				q.fresh = append(q.fresh[:0], q.fresh[i:]...)
				return e.dirtyPages(out, most)
			}
			q.open = e.roomyPage()
		}
		q.open.Add(a, false)
		q.pageChanged(q.open)
	}
	q.fresh = q.fresh[:0]
	return e.dirtyPages(out, most)
}

// roomyPage is the page with the least on it that still has room for some, or
// a new one. Writing it again drops what is gone from it.
func (e *Engine) roomyPage() *fleet.Page {
	q := &e.writes
	var best *fleet.Page
	for _, p := range q.pages {
		if !p.Sending && p.Roomy(e.cfg.MaxPerValue) &&
			(best == nil || p.Live() < best.Live() || p.Live() == best.Live() && p.Name < best.Name) {
			best = p
		}
	}
	if best == nil {
		e.counter++
		best = fleet.NewPage(fmt.Sprintf("%d-%d", e.term, e.counter), 0)
		q.addPage(best)
	}
	return best
}

func (e *Engine) dirtyPages(out []Write, most int) []Write {
	for _, p := range sortedPages(e.writes.dirty) {
		if changes(out) < most && !p.Sending {
			out = append(out, Write{Kind: WritePage, Name: p.Name, Version: p.Version, Page: p.Record()})
		}
	}
	return out
}

func sortedPages(set map[*fleet.Page]bool) []*fleet.Page {
	if len(set) == 0 {
		return nil
	}
	out := make([]*fleet.Page, 0, len(set))
	for p := range set {
		out = append(out, p)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// jobsToWrite are the jobs that are over, and those of which progress is due to
// be written. Of the former those come first that are cancelled with others: their
// users are told nothing until that is written, and can't be told for long that
// they wait. Otherwise what has waited longest comes first.
func (e *Engine) jobsToWrite(now time.Time) (ends, progress []*pipeline.Job) {
	for j := range e.writes.jobs {
		switch {
		case e.over(j):
			if !e.writes.lastJob[j.Ref].After(now) { // else it was refused
				ends = append(ends, j)
			}
		case j.Over() || !j.Dirty():
			delete(e.writes.jobs, j)
		case e.cancellations.inTransaction(j.Ref):
			// A new version of the record would only be in the cancellation's way.
		case !j.Fits(e.cfg.MaxPerValue):
			// Only its end is written; until then its workers keep its results.
		case now.Sub(e.writes.lastJob[j.Ref]) >= e.cfg.BatchEvery:
			progress = append(progress, j)
		}
	}
	since := e.writes.jobs
	sort.Slice(ends, func(i, k int) bool {
		a, b := ends[i], ends[k]
		if derived(a) != derived(b) {
			return derived(a)
		}
		return since[a] < since[b]
	})
	sort.Slice(progress, func(i, k int) bool {
		a, b := progress[i], progress[k]
		if at, bt := e.writes.lastJob[a.Ref], e.writes.lastJob[b.Ref]; !at.Equal(bt) {
			return at.Before(bt)
		}
		return since[a] < since[b]
	})
	return ends, progress
}

// derived tells whether a job is cancelled with one that it needs, and the store
// doesn't hold that yet.
func derived(j *pipeline.Job) bool {
	return j.Phase() == pipeline.Cancelled && j.Written() != pipeline.Cancelled
}

// endWrites put final entries in the place of jobs' records.
func (e *Engine) endWrites(now time.Time, out []Write, ends []*pipeline.Job, most int) []Write {
	for _, j := range ends {
		if changes(out)+2 > most { // a put and a drop
			break
		}
		f := j.FinalEntry()
		if e.graph.Awaited(j.Ref) {
			f.EndMS = now.UnixMilli()
		}
		out = append(out, Write{Kind: WriteFinal, Name: j.Ref, Version: j.Version, Final: f})
	}
	return out
}

func (e *Engine) progressWrites(out []Write, progress []*pipeline.Job, most int) []Write {
	ops := changes(out)
	for _, j := range progress {
		if ops >= most {
			break
		}
		out = append(out, Write{Kind: WriteJob, Name: j.Ref, Version: j.Version, Job: j.Record(e.cfg.MaxPerValue)})
		ops++
		chunks := j.DirtyChunks()
		sort.Ints(chunks)
		for _, c := range chunks {
			if c > 0 && ops < most {
				out = append(out, Write{Kind: WriteChunk, Name: j.Ref, Chunk: c, Runs: pipeline.FitRuns(j.Chunk(c), e.cfg.MaxPerValue)})
				ops++
			}
		}
	}
	return out
}

// over tells whether a job's final entry can take the place of its record: all
// done, or cancelled with nothing left on any machine.
func (e *Engine) over(j *pipeline.Job) bool {
	switch j.Phase() {
	case pipeline.Done:
		return true
	case pipeline.Cancelled:
		u := e.use[j.Ref]
		return u == nil || len(u.attempts) == 0
	}
	return false
}

// tidyEvery is how often pages are trimmed of attempts that are gone. An
// untrimmed entry costs a later leader the wait for that machine's word.
const tidyEvery = 10 * time.Second

// tidy drops what nobody needs any more, when nothing else is to be written.
func (e *Engine) tidy(now time.Time, out []Write, most int) []Write {
	q := &e.writes
	for _, c := range q.cleanup {
		if len(out) < most {
			out = append(out, Write{Kind: c.kind, Name: c.ref, Sum: c.sum, Chunk: c.chunk})
		}
	}
	if now.Sub(q.tidied) < tidyEvery/10 {
		return out
	}
	q.tidied = now
	var worst *fleet.Page
	for _, p := range q.pages {
		if p.Sending || p == q.open || p.Stale() == 0 || now.Sub(p.Trimmed) < tidyEvery || !p.Fits(nil, e.cfg.MaxPerValue) {
			continue
		}
		if worst == nil || p.Stale() > worst.Stale() || p.Stale() == worst.Stale() && p.Name < worst.Name {
			worst = p
		}
	}
	if worst == nil || len(out) >= most {
		return out
	}
	worst.Trimmed = now
	if worst.Live() > 0 || worst.Version == 0 {
		return append(out, Write{Kind: WritePage, Name: worst.Name, Version: worst.Version, Page: worst.Record()})
	}
	return append(out, Write{Kind: DropPage, Name: worst.Name, Version: worst.Version})
}

// Sending notes that a batch is on its way: its content counts as clean unless
// it changes again or the batch fails.
type Sending struct{ Batch []Write }

func (s Sending) apply(e *Engine, now time.Time) {
	for _, w := range s.Batch {
		switch w.Kind {
		case WritePage, DropPage:
			if p := e.writes.pages[w.Name]; p != nil {
				p.Sent()
				e.writes.pageChanged(p)
			}
		case WriteJob:
			if j := e.jobs[w.Name]; j != nil {
				j.Clean(0, w.Job.Done)
				e.writes.lastJob[j.Ref] = now
			}
		case WriteChunk:
			if j := e.jobs[w.Name]; j != nil {
				j.Clean(w.Chunk, w.Runs)
			}
		case WriteImages, DropImages:
			e.imagesSent(w.Name)
		}
	}
}

// Written brings a batch's outcome. Version is that of all its keys if OK.
// Otherwise nothing is known to have changed, and Seen holds the versions of
// the pages that were read afterwards.
type Written struct {
	Batch   []Write
	OK      bool
	Version uint64
	Seen    map[string]uint64
}

func (w Written) apply(e *Engine, now time.Time) {
	for _, op := range w.Batch {
		if w.OK {
			e.written(now, op, w.Version)
		} else {
			e.unwritten(op, w.Seen)
		}
	}
}

func (e *Engine) written(now time.Time, op Write, version uint64) {
	switch op.Kind {
	case WritePage:
		if p := e.writes.pages[op.Name]; p != nil {
			p.Stored(now, op.Page, version)
			e.writes.pageChanged(p)
		}
	case DropPage:
		p := e.writes.pages[op.Name]
		p.Stored(now, fleet.Record{}, 0)
		if p.Live() == 0 && p != e.writes.open {
			delete(e.writes.pages, op.Name)
		}
	case WriteJob:
		if j := e.jobs[op.Name]; j != nil {
			j.Version = version
			e.settleResults(j)
		}
	case WriteChunk:
		if j := e.jobs[op.Name]; j != nil {
			e.settleResults(j)
		}
	case WriteFinal:
		e.finished(now, op.Name, op.Final)
	case WriteImages, DropImages:
		e.imagesWritten(op, true)
	case DropChunk, DropAwaits:
		for i, c := range e.writes.cleanup {
			if c.kind == op.Kind && c.ref == op.Name && c.chunk == op.Chunk {
				e.writes.cleanup = append(e.writes.cleanup[:i], e.writes.cleanup[i+1:]...)
				break
			}
		}
	}
}

// settleResults lets workers forget results that the store now holds.
func (e *Engine) settleResults(j *pipeline.Job) {
	u := e.use[j.Ref]
	if u == nil {
		return
	}
	for a := range u.results {
		if j.Written() == pipeline.Done || j.Written() == pipeline.Cancelled || j.Stored(a.Task) {
			a.Handled = true
			delete(u.results, a)
		}
	}
	e.forgetUse(j.Ref)
}

func (e *Engine) unwritten(op Write, seen map[string]uint64) {
	switch op.Kind {
	case WritePage, DropPage:
		if p := e.writes.pages[op.Name]; p != nil {
			v, known := seen[op.Name]
			p.Failed(v, known)
			e.writes.pageChanged(p)
		}
	case WriteJob:
		if j := e.jobs[op.Name]; j != nil {
			j.Touch(0)
			e.writes.jobChanged(j)
		}
	case WriteChunk:
		if j := e.jobs[op.Name]; j != nil {
			j.Touch(op.Chunk)
			e.writes.jobChanged(j)
		}
	case WriteImages, DropImages:
		e.imagesWritten(op, false)
	}
}

// Refused says that the store takes a write under no circumstances: its limits are
// lower than the settings say.
type Refused struct{ Write Write }

// What values are made smaller by when one was refused, down to which size, and for
// how long what was refused of a job isn't tried again.
const (
	refusedPart  = 0.75
	leastValue   = 400
	refusedPause = 30 * time.Second
)

func (r Refused) apply(e *Engine, now time.Time) {
	op := r.Write
	e.note("write refused by the state service", "kind", op.Kind, "name", op.Name, "value_bytes", e.cfg.MaxPerValue)
	e.cfg.MaxPerValue = max(leastValue, int(float64(e.cfg.MaxPerValue)*refusedPart))
	switch op.Kind {
	case WritePage, DropPage:
		p := e.writes.pages[op.Name]
		if p == nil {
			return
		}
		for _, a := range p.Unwritten() {
			e.stop(now, a.On, a, 0) // to be placed again, on a page with less on it
		}
		p.Refused(now)
		e.writes.pageChanged(p)
		if e.writes.open == p {
			e.writes.open = nil
		}
	case WriteJob, WriteChunk, WriteFinal:
		e.unwritten(op, nil)
		e.writes.lastJob[op.Name] = now.Add(refusedPause)
	case WriteImages, DropImages:
		// Left as it is until something on it changes.
	default:
		e.unwritten(op, nil)
	}
}
