package pipeline

import "strconv"

// ChunkTasks is how many tasks share one value of done ranges. Ranges that would
// make the value too large are left out, see FitRuns.
const ChunkTasks = 1024

// doneRanges is what of a job's results the store doesn't hold, by chunk.
type doneRanges struct {
	dirty       map[int]bool // chunks that are to be written
	truncatedAt map[int]int  // chunks that were written cut short: from which task on
}

// stored tells whether the store holds a task's result, as far as is known.
func (d *doneRanges) stored(task int) bool {
	chunk := task / ChunkTasks
	end, truncated := d.truncatedAt[chunk]
	return !d.dirty[chunk] && (!truncated || task < end)
}

// truncate notes that a chunk was written up to a task only.
func (d *doneRanges) truncate(chunk, end int) {
	if d.truncatedAt == nil {
		d.truncatedAt = map[int]int{}
	}
	d.truncatedAt[chunk] = end
}

// Dirty tells whether a chunk's done ranges (or the restart counts) have
// changed since they were last written.
func (j *Job) Dirty() bool { return len(j.done.dirty) > 0 }

// DirtyChunks lists the chunks to be written.
func (j *Job) DirtyChunks() []int {
	out := make([]int, 0, len(j.done.dirty))
	for c := range j.done.dirty {
		out = append(out, c)
	}
	return out
}

// MarkWriting notes that a chunk's present content, or as much of it as the runs say, is
// about to be written. MarkDirty undoes it if the write fails.
func (j *Job) MarkWriting(chunk int, runs []int) {
	delete(j.done.dirty, chunk)
	delete(j.done.truncatedAt, chunk)
	if len(runs) == len(j.Chunk(chunk)) {
		return
	}
	end := chunk * ChunkTasks
	for _, n := range runs {
		end += n
	}
	j.done.truncate(chunk, end)
}

// MarkDirty has a chunk written (again).
func (j *Job) MarkDirty(chunk int) { j.done.dirty[chunk] = true }

// FitRuns leaves out of done ranges what makes them take more than so many
// bytes. Tasks past the last one count as not done in the store; they are done
// again if nothing else is left of their results.
func FitRuns(runs []int, most int) []int {
	n := 2
	for i, r := range runs {
		if n += len(strconv.Itoa(r)) + 1; n > most {
			return runs[:i&^1]
		}
	}
	return runs
}

// loadChunk applies run lengths: so many tasks not done, so many done, and on.
func (j *Job) loadChunk(chunk int, runs []int) {
	at, done := chunk*ChunkTasks, false
	for _, n := range runs {
		for end := min(at+n, len(j.Tasks)); at < end; at++ {
			if done {
				j.setTaskState(at, Finished)
			}
		}
		done = !done
	}
	delete(j.done.dirty, chunk)
}

// Chunk returns a chunk's done ranges as run lengths.
func (j *Job) Chunk(chunk int) []int {
	var runs []int
	done, n := false, 0
	for i := chunk * ChunkTasks; i < min((chunk+1)*ChunkTasks, len(j.Tasks)); i++ {
		if f := j.Tasks[i].state == Finished; f != done {
			runs = append(runs, n)
			done, n = f, 0
		}
		n++
	}
	if done {
		runs = append(runs, n)
	}
	return runs
}

// ResultStored tells whether the store holds a task's result, as far as is known.
func (j *Job) ResultStored(task int) bool { return j.done.stored(task) }
