package surge

import (
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// starvationBound is how long a job waits before it is ordered ahead of others that aren't urgent,
// as in package core.
const starvationBound = 150 * time.Second

// machines models the machines and the order in which package core starts tasks. All machines are
// modelled as a single one with all CPUs.
type machines struct {
	options     *Options
	queue       []*job // admitted jobs with waiting tasks, in the order of their admission
	running     []runningTask
	usedCPUs    float64
	usedByClass []float64
}

// runningTask is a task that is running.
type runningTask struct {
	class int
	until time.Duration
}

func newMachines(o *Options) machines {
	return machines{options: o, usedByClass: make([]float64, len(o.Classes))}
}

// classOf returns the class of a job.
func (m *machines) classOf(j *job) *Class { return &m.options.Classes[j.class] }

// enqueue adds a job that was admitted to the queue.
func (m *machines) enqueue(j *job) { m.queue = append(m.queue, j) }

// run ends the tasks whose run time is over and starts waiting tasks while there are free CPUs for
// them. It calls jobStarted for each job whose first task starts.
func (m *machines) run(now time.Duration, jobStarted func(time.Duration, *job)) {
	m.endTasks(now)
	capacity := m.options.CPUs(now)
	for {
		next := m.nextJob(now, capacity-m.usedCPUs)
		if next < 0 {
			return
		}
		j := m.queue[next]
		if j.waitingTasks == m.classOf(j).Tasks {
			jobStarted(now, j)
		}
		m.startTask(now, next)
	}
}

// endTasks ends the tasks whose run time is over.
func (m *machines) endTasks(now time.Duration) {
	stillRunning := m.running[:0]
	for _, task := range m.running {
		if task.until > now {
			stillRunning = append(stillRunning, task)
			continue
		}
		cpus := m.options.Classes[task.class].CPUs
		m.usedCPUs -= cpus
		m.usedByClass[task.class] -= cpus
	}
	m.running = stillRunning
}

// startTask starts a task of the job at a position in the queue, and dequeues the job with its last
// task.
func (m *machines) startTask(now time.Duration, position int) {
	j := m.queue[position]
	c := m.classOf(j)
	m.usedCPUs += c.CPUs
	m.usedByClass[j.class] += c.CPUs
	m.running = append(m.running, runningTask{j.class, now + c.Run})
	if j.waitingTasks--; j.waitingTasks == 0 {
		m.queue = slices.Delete(m.queue, position, position+1)
	}
}

// nextJob returns the position in the queue of the job whose task starts next, or -1 if none can
// start. While the first job in the order has waited beyond the starvation bound and doesn't fit,
// nothing starts, so that CPUs become free for it.
func (m *machines) nextJob(now time.Duration, freeCPUs float64) int {
	best := -1
	seenClasses := map[int]bool{}
	for i, j := range m.queue {
		if seenClasses[j.class] || m.classOf(j).CPUs > freeCPUs && !starving(now, j) {
			continue
		}
		seenClasses[j.class] = true // the jobs of a class start in the order of the queue
		if best < 0 || m.goesBefore(now, j, m.queue[best]) {
			best = i
		}
		if len(seenClasses) == len(m.options.Classes) {
			break
		}
	}
	if best >= 0 && m.classOf(m.queue[best]).CPUs > freeCPUs {
		return -1
	}
	return best
}

// starving reports whether a job has waited beyond the starvation bound.
func starving(now time.Duration, j *job) bool { return now-j.admitted > starvationBound }

// goesBefore reports whether a job starts before another, in the order of package core: urgent jobs
// first, then starving ones, then by priority. Among jobs of equal priority, the one whose team uses
// the fewest CPUs for its weight starts first. Jobs of the same team, and all jobs without admission
// control, start in the order of their admission.
func (m *machines) goesBefore(now time.Duration, a, b *job) bool {
	x, y := m.classOf(a), m.classOf(b)
	urgentX, urgentY := x.Priority <= pipeline.High, y.Priority <= pipeline.High
	switch {
	case urgentX != urgentY:
		return urgentX
	case starving(now, a) != starving(now, b):
		return starving(now, a)
	case x.Priority != y.Priority:
		return x.Priority < y.Priority
	case m.options.Admission && x.Team != y.Team:
		return m.weightedUse(x.Team) < m.weightedUse(y.Team)
	}
	return a.admitted < b.admitted
}

// weightedUse returns the CPUs that a team uses, divided by its weight.
func (m *machines) weightedUse(team string) float64 {
	sum := 0.0
	for i := range m.options.Classes {
		if m.options.Classes[i].Team == team {
			sum += m.usedByClass[i]
		}
	}
	return sum / m.options.weightOf(team)
}

// backlog returns how long the machines take to run all waiting tasks.
func (m *machines) backlog(now time.Duration) time.Duration {
	cpuSeconds := 0.0
	for _, j := range m.queue {
		c := m.classOf(j)
		cpuSeconds += float64(j.waitingTasks) * c.CPUs * c.Run.Seconds()
	}
	return time.Duration(cpuSeconds / m.options.CPUs(now) * float64(time.Second))
}
