package pipeline

import "strconv"

// Which tasks of a job are finished is stored in chunks of ChunkTasks tasks. A chunk is a list of run
// lengths: so many tasks aren't finished, so many are, and so on alternately. The first chunk is part
// of the job's record; the others have keys of their own.

// ChunkTasks is how many tasks a chunk of done ranges covers. Runs that would make the value too large
// are left out, see TruncateRuns.
const ChunkTasks = 1024

// doneRanges says which chunks of a job's done ranges the state service doesn't hold.
type doneRanges struct {
	dirty       map[int]bool // chunks that have changed since they were last written
	truncatedAt map[int]int  // for a chunk that was written without its last runs: the first task left out
}

// stored reports whether the state service holds a task's result, as far as is known.
func (d *doneRanges) stored(task int) bool {
	chunk := task / ChunkTasks
	end, truncated := d.truncatedAt[chunk]
	return !d.dirty[chunk] && (!truncated || task < end)
}

// truncate notes that a chunk was written without the tasks from a given one on.
func (d *doneRanges) truncate(chunk, firstLeftOut int) {
	if d.truncatedAt == nil {
		d.truncatedAt = map[int]int{}
	}
	d.truncatedAt[chunk] = firstLeftOut
}

// NeedsWrite reports whether the job's record, or any chunk of its done ranges, has changed since it was
// last written.
func (j *Job) NeedsWrite() bool { return len(j.done.dirty) > 0 }

// DirtyChunks lists the chunks that have to be written, in no particular order.
func (j *Job) DirtyChunks() []int {
	out := make([]int, 0, len(j.done.dirty))
	for chunk := range j.done.dirty {
		out = append(out, chunk)
	}
	return out
}

// MarkWriting notes that runs of a chunk are about to be written: all that it has now, or the first of
// them. MarkDirty takes that back if the write fails.
func (j *Job) MarkWriting(chunk int, runs []int) {
	delete(j.done.dirty, chunk)
	delete(j.done.truncatedAt, chunk)
	if len(runs) == len(j.DoneRuns(chunk)) {
		return
	}
	firstLeftOut := chunk * ChunkTasks
	for _, length := range runs {
		firstLeftOut += length
	}
	j.done.truncate(chunk, firstLeftOut)
}

// MarkDirty notes that a chunk has to be written.
func (j *Job) MarkDirty(chunk int) { j.done.dirty[chunk] = true }

// TruncateRuns returns as many pairs of runs as fit a limit in the JSON form that the state service counts
// in. Tasks past the last pair aren't finished as far as the state service knows; a leader that takes
// over has them run again if it doesn't learn of their results otherwise.
func TruncateRuns(runs []int, maxBytes int) []int {
	bytes := len("[]")
	for i, length := range runs {
		if bytes += runBytes(length); bytes > maxBytes {
			return runs[:i-i%2]
		}
	}
	return runs
}

// runBytes returns what a run length takes in JSON, with its comma.
func runBytes(length int) int { return len(strconv.Itoa(length)) + len(",") }

// restoreChunk takes over the run lengths of a chunk.
func (j *Job) restoreChunk(chunk int, runs []int) {
	task, finished := chunk*ChunkTasks, false
	for _, length := range runs {
		for end := min(task+length, len(j.Tasks)); task < end; task++ {
			if finished {
				j.setTaskState(task, Finished)
			}
		}
		finished = !finished
	}
	delete(j.done.dirty, chunk)
}

// DoneRuns returns the run lengths of a chunk. The last run is of finished tasks.
func (j *Job) DoneRuns(chunk int) []int {
	var runs []int
	inFinishedRun, length := false, 0
	for i := chunk * ChunkTasks; i < min((chunk+1)*ChunkTasks, len(j.Tasks)); i++ {
		if finished := j.Tasks[i].state == Finished; finished != inFinishedRun {
			runs = append(runs, length)
			inFinishedRun, length = finished, 0
		}
		length++
	}
	if inFinishedRun {
		runs = append(runs, length)
	}
	return runs
}

// ResultStored reports whether the state service holds a task's result, as far as is known.
func (j *Job) ResultStored(task int) bool { return j.done.stored(task) }
