package core

import (
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// WriteKind says what a write is about.
type WriteKind uint8

// Kinds of writes.
const (
	WriteMachine WriteKind = iota // a machine's record
	DropMachine                   // the record of a machine that is gone
	WriteJob                      // a job's record
	WriteChunk                    // further done ranges of a job
	WriteFinal                    // a job's final entry, in place of its record
	DropChunk                     // done ranges of a job that is over
)

// Write is one change to the store. Its condition is Version (0: the key
// doesn't exist); chunks are covered by the version of their job's record.
type Write struct {
	Kind    WriteKind
	Name    string // job or machine
	Chunk   int
	Version uint64
	Machine fleet.Record
	Job     pipeline.Record
	Final   pipeline.Final
	Runs    []int
}

// Batch asks for the most pressing writes, at most `most` puts and drops.
func (e *Engine) Batch(now time.Time, most int) []Write {
	var out []Write
	out = e.intents(out, most)
	out = e.jobWrites(now, out, most)
	if len(out) < most {
		out = e.tidy(now, out, most)
	}
	return out
}

// intents are the records that starts wait for.
func (e *Engine) intents(out []Write, most int) []Write {
	for _, m := range e.sortedMachines() {
		if len(out) >= most {
			break
		}
		if m.RecordDirty {
			out = append(out, Write{Kind: WriteMachine, Name: m.Name, Version: m.Version, Machine: m.StoreRecord()})
		}
	}
	return out
}

// jobWrites are finished jobs at once, and progress every so often.
func (e *Engine) jobWrites(now time.Time, out []Write, most int) []Write {
	for _, j := range e.order {
		if e.over(j) {
			if len(out)+2 > most {
				break
			}
			out = append(out, Write{Kind: WriteFinal, Name: j.Ref, Version: j.Version, Final: j.FinalEntry()})
			most-- // it is a put and a drop
		}
	}
	for _, j := range e.order {
		if j.Phase() != pipeline.Active || !j.Dirty() || now.Sub(e.lastJob[j.Ref]) < e.cfg.BatchEvery {
			continue
		}
		chunks := j.DirtyChunks()
		sort.Ints(chunks)
		if len(out)+2 > most {
			break
		}
		out = append(out, Write{Kind: WriteJob, Name: j.Ref, Version: j.Version, Job: j.Record()})
		for _, c := range chunks {
			if c > 0 && len(out) < most {
				out = append(out, Write{Kind: WriteChunk, Name: j.Ref, Chunk: c, Runs: j.Chunk(c)})
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
		return u == nil || u.attempts == 0
	}
	return false
}

// tidy drops what nobody needs any more.
func (e *Engine) tidy(now time.Time, out []Write, most int) []Write {
	names := make([]string, 0, len(e.orphans))
	for name := range e.orphans {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if len(out) < most {
			out = append(out, Write{Kind: DropMachine, Name: name, Version: e.orphans[name]})
		}
	}
	for _, m := range e.sortedMachines() {
		if len(out) < most && !m.RecordDirty && m.Stale() && now.Sub(m.TidiedAt) > tidyEvery {
			m.TidiedAt = now
			out = append(out, Write{Kind: WriteMachine, Name: m.Name, Version: m.Version, Machine: m.StoreRecord()})
		}
	}
	for _, c := range e.cleanup {
		if len(out) < most {
			out = append(out, Write{Kind: DropChunk, Name: c.ref, Chunk: c.chunk})
		}
	}
	return out
}

// tidyEvery is how often a machine's record is trimmed of attempts that are
// gone. An untrimmed record costs a later leader half a second at that machine.
const tidyEvery = 10 * time.Second

// Sending notes that a batch is on its way: its content counts as clean unless
// it changes again or the batch fails.
type Sending struct{ Batch []Write }

func (s Sending) apply(e *Engine, now time.Time) {
	for _, w := range s.Batch {
		switch w.Kind {
		case WriteMachine:
			if m := e.machines[w.Name]; m != nil {
				m.RecordDirty = false
			}
		case WriteJob:
			if j := e.jobs[w.Name]; j != nil {
				j.Clean(0)
				e.lastJob[j.Ref] = now
			}
		case WriteChunk:
			if j := e.jobs[w.Name]; j != nil {
				j.Clean(w.Chunk)
			}
		}
	}
}

// Written brings a batch's outcome. Version is that of all its keys if OK.
// Otherwise nothing is known to have changed, and Seen holds the versions of
// the keys of machines that were read afterwards.
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
	case WriteMachine:
		if m := e.machines[op.Name]; m != nil {
			m.RecordWritten(now, op.Machine, version)
		} else {
			e.orphans[op.Name] = version
		}
	case DropMachine:
		delete(e.orphans, op.Name)
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
		e.finished(op.Name, op.Final)
	case DropChunk:
		for i, c := range e.cleanup {
			if c.ref == op.Name && c.chunk == op.Chunk {
				e.cleanup = append(e.cleanup[:i], e.cleanup[i+1:]...)
				break
			}
		}
	}
}

// settleResults lets workers forget results that the store now holds.
func (e *Engine) settleResults(j *pipeline.Job) {
	pending := map[int]bool{}
	if j.Written() == pipeline.Active {
		for _, c := range j.DirtyChunks() {
			pending[c] = true
		}
	}
	for _, m := range e.machines {
		for _, a := range m.Tasks {
			if a.Ref == j.Ref && a.State() == fleet.Exited && a.Cause == fleet.CauseDone && !pending[a.Task/pipeline.ChunkTasks] {
				a.Handled = true
			}
		}
	}
}

func (e *Engine) unwritten(op Write, seen map[string]uint64) {
	switch op.Kind {
	case WriteMachine:
		if m := e.machines[op.Name]; m != nil {
			m.RecordDirty = true
			if v, ok := seen[op.Name]; ok {
				m.Version = v
			}
		} else if v, ok := seen[op.Name]; ok && v != 0 {
			e.orphans[op.Name] = v
		}
	case DropMachine:
		if v, ok := seen[op.Name]; ok {
			if e.orphans[op.Name] = v; v == 0 {
				delete(e.orphans, op.Name)
			}
		}
	case WriteJob:
		if j := e.jobs[op.Name]; j != nil {
			j.Touch(0)
		}
	case WriteChunk:
		if j := e.jobs[op.Name]; j != nil {
			j.Touch(op.Chunk)
		}
	}
}

// chunkRef names the key of further done ranges.
type chunkRef struct {
	ref   string
	chunk int
}
