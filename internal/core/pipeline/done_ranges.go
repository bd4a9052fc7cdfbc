package pipeline

import "strconv"

// The finished tasks of a job are stored as done ranges, in chunks of ChunkTasks tasks each. A chunk
// is a list of run lengths, alternately of unfinished and of finished tasks, beginning with
// unfinished ones. The first chunk is part of the job's record; the others have keys of their own.

// ChunkTasks is how many tasks a chunk of done ranges covers. Runs that would make the value too large
// are left out, see TruncateRuns.
const ChunkTasks = 1024

// doneRanges tracks which of a job's done ranges the state service doesn't hold.
type doneRanges struct {
	dirty       map[int]bool // chunks to be written; 0 stands for the whole record
	truncatedAt map[int]int  // for a chunk that was written without its last runs: the first task left out
}

// stored reports whether the stored done ranges are known to cover a task and to be up to date, so that
// they hold its result if it has one.
func (d *doneRanges) stored(task int) bool {
	chunk := task / ChunkTasks
	end, truncated := d.truncatedAt[chunk]
	return !d.dirty[chunk] && (!truncated || task < end)
}

// truncate records that a chunk is written without the tasks from firstLeftOut on.
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

// MarkWriting records that a chunk is being written with the given runs: all that it has now, or only
// the first of them. If the write fails, MarkDirty undoes that.
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

// MarkDirty records that a chunk has to be written.
func (j *Job) MarkDirty(chunk int) { j.done.dirty[chunk] = true }

// TruncateRuns returns as many pairs of runs as fit in maxBytes, in the JSON form by which the state
// service counts sizes. Tasks after the last pair count as unfinished in the state service; a new
// leader has them run again unless it learns of their results in another way.
func TruncateRuns(runs []int, maxBytes int) []int {
	bytes := len("[]")
	for i, length := range runs {
		if bytes += runBytes(length); bytes > maxBytes {
			return runs[:i-i%2]
		}
	}
	return runs
}

// runBytes returns the size of a run length in JSON, with its comma.
func runBytes(length int) int { return len(strconv.Itoa(length)) + len(",") }

// restoreChunk marks as finished the tasks that are finished according to a stored chunk's run lengths.
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

// DoneRuns returns the run lengths of a chunk. Unfinished tasks after the last finished one are left
// out, so that the last run is always of finished tasks.
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

// ResultStored reports whether the state service is known to hold the result of a finished task.
func (j *Job) ResultStored(task int) bool { return j.done.stored(task) }
