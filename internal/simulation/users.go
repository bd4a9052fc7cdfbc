package simulation

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// userJob is a job as its user knows it.
type userJob struct {
	w                *World
	spec             pipeline.Spec
	run              time.Duration
	runs             []time.Duration // of each task, if they differ
	failsAlways      bool
	wantsCancel      bool
	accepted         bool
	reportedPhase    pipeline.Phase
	reportedAt       time.Time // since when
	failures         int       // how often a task of it failed
	cancelReportedAt time.Time
	done             map[int]bool
	firstSubmittedAt time.Time // when it was first submitted
	startedAt        time.Time // when a first task of it ran
	lastAnsweredAt   time.Time // when a question was last answered
	dependencies     []*userJob
	acceptedAt       time.Time
	cancelRequested  bool // its user has asked to cancel it
}

// mates are the tasks of one attempt of a gang that haven't exited.
func (j *userJob) mates(attempt uint64) []*task {
	var out []*task
	for _, m := range j.w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.job == j && t.attempt == attempt && t.state != fleet.Exited {
				out = append(out, t)
			}
		}
	}
	return out
}

func (w *World) sortedMachines() []*machine {
	out := make([]*machine, 0, len(w.machines))
	for _, m := range w.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].name < out[k].name })
	return out
}

func (w *World) sortedJobs() []*userJob {
	out := make([]*userJob, 0, len(w.jobs))
	for _, j := range w.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].spec.Ref < out[k].spec.Ref })
	return out
}

// userJobNumber scatters the numbers of users' jobs: ids come in no order.
func userJobNumber(i int) int { return i * 7919 % 100_003 }

func (w *World) planUsers() {
	for i := range w.options.Jobs {
		j := &userJob{w: w, done: map[int]bool{}, run: w.between(2*time.Second, 25*time.Second), failsAlways: w.chance(0.05)}
		s := &j.spec
		s.Ref = userJobRefs.ref(userJobNumber(i))
		s.Class, s.Team, s.Image, s.ImageGB = "c", "red", fmt.Sprintf("img-%d", w.rng.IntN(3)), 2
		if w.chance(0.5) {
			s.Team = "blue"
		}
		s.Tasks, s.CPUs, s.MemGB = 1+w.rng.IntN(5), 2, 4
		if w.chance(0.3) {
			s.GPUs = 1
			s.Tasks = min(s.Tasks, 4)
		}
		switch k := w.rng.Float64(); {
		case k < 0.3:
			s.Shape = pipeline.Gang
		case k < 0.4:
			s.Shape, j.wantsCancel = pipeline.Service, true
		}
		s.Priority = pipeline.Priority(w.rng.IntN(4))
		s.OneZone, s.Spread, s.Spot = w.chance(0.3), w.chance(0.2), w.chance(0.6)
		if s.OneZone && s.Spread {
			s.Spread = false
		}
		if w.chance(0.2) {
			s.Zone, s.Spread = w.zones[w.rng.IntN(len(w.zones))], false
		}
		if s.GPUs == 0 && w.chance(0.2) {
			s.Types = []string{"small"}
		}
		s.Estimate = j.run
		if w.chance(0.6) {
			s.CheckpointInterval, s.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j.wantsCancel = j.wantsCancel || j.failsAlways || w.chance(0.2)
		w.jobs[s.Ref] = j
		w.after(w.between(0, w.options.Length*2/3), j.submit)
	}
	w.after(w.between(0, 5*time.Second), w.queryUnknownJob)
}

// queryUnknownJob asks about a job that nobody submitted.
func (w *World) queryUnknownJob() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if v, known, ok := n.answerQuery(unsubmittedRef); ok && known {
		w.checker.observe(unknownJobReported{v})
	}
	w.after(7*time.Second, w.queryUnknownJob)
}

// loadBalancedNode is the node that the load balancer chooses: a healthy one, if any is.
func (j *userJob) loadBalancedNode() *node {
	var up []*node
	for _, n := range j.w.nodes {
		if !n.down && !n.paused() && j.w.reachable("", n.zone) && n.health.Serves(n.local()) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = j.w.nodes
	}
	return up[j.w.rng.IntN(len(up))]
}

func (j *userJob) submit() {
	if j.firstSubmittedAt.IsZero() {
		j.firstSubmittedAt = j.w.now
	}
	n := j.loadBalancedNode()
	if n.down || n.paused() || n.cutOff() {
		j.w.after(time.Second, j.submit)
		return
	}
	if again, ok := n.admits(j); !ok {
		j.w.after(again, j.submit)
		return
	}
	jobs := n.jobs
	answered := false
	create := func() {
		n.call(func() {
			answered = j.submissionStored(jobs.Create(context.Background(), j.spec, j.dependencyNames(), j.w.now))
		}, func() {
			if answered {
				j.w.output.userAnswer(n, j.spec.Ref, userapi.Answer{Status: http.StatusCreated})
			}
			if answered && !j.accepted {
				j.accepted, j.acceptedAt = true, j.w.now
				j.w.script.jobAccepted(j)
			}
		})
	}
	if len(j.dependencies) == 0 {
		create()
	} else { // the check and the write are two calls, between which anything may happen
		err := statestore.ErrUnknownOutcome
		n.call(func() { err = jobs.CheckDependencies(context.Background(), j.spec.Ref, j.dependencyNames()) }, func() {
			if j.submissionStored(err) {
				create()
			}
		})
	}
	j.w.after(j.w.between(time.Second, 3*time.Second), func() {
		if !j.accepted {
			j.submit()
			return
		}
		j.poll()
		if j.wantsCancel {
			j.w.after(j.w.between(0, j.w.options.Length/3), j.cancel)
		}
	})
}

// dependencyNames are the jobs that the job names as dependencies, the first one twice.
func (j *userJob) dependencyNames() []string {
	var out []string
	for _, p := range j.dependencies {
		out = append(out, p.spec.Ref)
	}
	if len(out) > 0 {
		out = append(out, out[0])
	}
	return out
}

// submissionStored tells whether the outcome of a submission means that the job is accepted.
func (j *userJob) submissionStored(err error) bool {
	if errors.Is(err, jobstore.ErrBadDependency) || errors.Is(err, jobstore.ErrTooLarge) {
		j.w.checker.fail("%s refused: %v", j.spec.Ref, err)
	}
	return err == nil || errors.Is(err, jobstore.ErrExists)
}

// answerQuery is what a node tells of a job: itself, or by asking another.
func (n *node) answerQuery(ref string) (v core.JobView, known, ok bool) {
	v, known, ok = n.queryAnyNode(ref)
	n.w.output.jobView(n, ref, v, known, ok)
	return v, known, ok
}

func (n *node) queryAnyNode(ref string) (v core.JobView, known, ok bool) {
	if n.down || n.paused() || !n.w.reachable("", n.zone) {
		return v, false, false
	}
	if v, known, ok = n.queryLocally(ref); ok {
		return v, known, ok
	}
	for _, o := range n.w.nodes {
		if o != n && n.reaches(o) {
			if v, known, ok = o.queryLocally(ref); ok {
				return v, known, ok
			}
		}
	}
	return v, false, false
}

// queryLocally is what a node tells by itself: from its engine if it may, else from
// the store. ok is false when it can't tell.
func (n *node) queryLocally(ref string) (v core.JobView, known, ok bool) {
	if n.down {
		return v, false, false
	}
	if n.engine != nil {
		if v, known := n.engine.Lookup(ref); known && n.holdsLease() {
			return v, true, true
		}
	}
	if n.cutOff() {
		return v, false, false
	}
	st, err := n.jobs.Load(context.Background(), ref)
	if err != nil {
		return v, false, false
	}
	if cancelled, err := n.jobs.DependencyCancelled(context.Background(), st, n.local()); err != nil || cancelled {
		return v, false, false
	}
	return core.JobView{Phase: st.Phase, Done: st.Done}, st.Found, true
}

// learn has the job's user learn of it from a controller.
func (j *userJob) learn(v core.JobView, known bool) {
	j.w.checker.observe(jobReported{j, v, known})
	if v.Phase == pipeline.Cancelled && j.reportedPhase != pipeline.Cancelled {
		j.cancelReportedAt = j.w.now
		j.w.script.cancellationConfirmed(j)
		j.w.checker.observe(cancellationReported{j})
	}
	if j.reportedPhase != v.Phase {
		j.reportedAt = j.w.now
	}
	j.reportedPhase = v.Phase
}

// learnLate has the job's user learn of it by an answer that took its time. Such an answer counts by when its
// query was sent: an older answer may cross a newer one, and nothing else may.
func (j *userJob) learnLate(askedAt time.Time, v core.JobView, known bool) {
	if !known && (!j.accepted || !askedAt.After(j.acceptedAt)) {
		return
	}
	if known && v.Phase == pipeline.Active && j.reportedPhase != pipeline.Active && !askedAt.After(j.reportedAt) {
		return
	}
	j.learn(v, known)
}

// mayBeCancelled tells whether somebody has asked to cancel a job or one that it depends on.
func (j *userJob) mayBeCancelled() bool {
	if j.cancelRequested {
		return true
	}
	for _, dependency := range j.dependencies {
		if dependency.mayBeCancelled() {
			return true
		}
	}
	return false
}

// runTime is how long a task of the job runs.
func (j *userJob) runTime(index int) time.Duration {
	if index < len(j.runs) {
		return j.runs[index]
	}
	return j.run
}

func (j *userJob) poll() {
	if v, known, ok := j.loadBalancedNode().answerQuery(j.spec.Ref); ok {
		j.learn(v, known)
		j.lastAnsweredAt = j.w.now
	}
	j.w.checker.observe(queryFinished{j})
	j.w.after(j.w.between(2*time.Second, 5*time.Second), j.poll)
}

func (j *userJob) cancel() {
	n := j.loadBalancedNode()
	for _, o := range j.w.nodes {
		if o.holdsLease() {
			n = o // the leader serves cancellations
		}
	}
	if n.down || n.paused() || n.cutOff() {
		j.w.after(time.Second, j.cancel)
		return
	}
	j.cancelRequested = true
	n.cancel(j.spec.Ref, func(st jobstore.State) {
		j.w.output.cancellation(n, j.spec.Ref, st.Phase)
		j.learn(core.JobView{Phase: st.Phase, Done: len(j.done)}, true)
	})
	j.w.after(3*time.Second, func() {
		if j.reportedPhase == pipeline.Active {
			j.cancel()
		}
	})
}

// planFaults strews faults over the world, singly and together.
func (w *World) planFaults() {
	for range 4 + w.rng.IntN(10) {
		w.after(w.between(0, w.options.Length), w.randomFault)
	}
	w.after(w.options.Length, w.endFaults)
}

// endFaults ends all faults that have no end of their own: from now on there is peace.
func (w *World) endFaults() {
	w.networkReliable, w.store.down, w.cloud.down, w.peersRefuse = true, false, false, false
	w.faultsEndedAt = w.now
	w.checker.waiting.checkRepeatedly()
	clear(w.cutZones)
	clear(w.partitionedZones)
	for _, n := range w.nodes {
		n.links.storeUnreachable, n.links.workersUnreachable, n.links.peersUnreachable = false, false, false
		if w.shortLease != nil {
			n.links.refusedByStore, n.slowUntil = false, time.Time{}
		}
	}
	for _, m := range w.machines {
		m.faulty, m.inboundLost = false, false
		clear(m.cut)
	}
}

func (w *World) anyMachine() *machine {
	ms := w.sortedMachines()
	if len(ms) == 0 {
		return nil
	}
	return ms[w.rng.IntN(len(ms))]
}

func (w *World) randomFault() {
	n, m := w.nodes[w.rng.IntN(len(w.nodes))], w.anyMachine()
	long := w.between(2*time.Second, 40*time.Second)
	switch w.rng.IntN(18) {
	case 0:
		n.crash(w.between(10*time.Millisecond, 6*time.Second))
	case 1:
		back := w.between(10*time.Millisecond, 6*time.Second)
		for _, n := range w.nodes {
			n.crash(w.between(10*time.Millisecond, back))
		}
	case 2:
		n.links.storeUnreachable = true
		w.after(long, func() { n.links.storeUnreachable = false })
	case 3:
		n.links.workersUnreachable = true
		w.after(long, func() { n.links.workersUnreachable = false })
	case 4:
		n.links.storeUnreachable, n.links.workersUnreachable = true, true
		w.after(long, func() { n.links.storeUnreachable, n.links.workersUnreachable = false, false })
	case 5:
		w.outage(w.between(time.Second, 20*time.Second))
	case 6:
		w.cloud.down = true
		w.after(long, func() { w.cloud.down = false })
	case 7, 8:
		if m != nil {
			m.hungUntil = w.now.Add(long)
		}
	case 9:
		if m != nil && m.isUp {
			m.cut[n] = true
			w.after(long, func() { m.cut[n] = false })
		}
	case 10, 11:
		w.machineFault(m)
	case 12, 13:
		if m != nil {
			m.inboundLost = true
			w.after(2*long, func() { m.inboundLost = false })
		}
	case 14: // it keeps its workers, and nothing else
		n.links.storeUnreachable, n.links.peersUnreachable = true, true
		w.after(long, func() { n.links.storeUnreachable, n.links.peersUnreachable = false, false })
	default:
		w.networkFault(long)
	}
}

// networkFault is a fault between zones, or between controllers.
func (w *World) networkFault(long time.Duration) {
	i := w.rng.IntN(len(w.zones))
	zone, other := w.zones[i], w.zones[(i+1)%len(w.zones)]
	switch w.rng.IntN(4) {
	case 0:
		w.cutZones[zone] = true
		w.after(long, func() { delete(w.cutZones, zone) })
	case 1:
		w.partitionedZones[[2]string{zone, other}] = true
		w.after(long, func() { delete(w.partitionedZones, [2]string{zone, other}) })
	case 2:
		w.peersRefuse = true
		w.after(long, func() { w.peersRefuse = false })
	case 3: // all restarted, one after the other
		for i, n := range w.nodes {
			w.after(time.Duration(i)*4*time.Second, func() { n.crash(w.between(10*time.Millisecond, 3*time.Second)) })
		}
	}
}

// machineFault takes a machine back, lets it die or fall sick.
func (w *World) machineFault(m *machine) {
	if m == nil {
		return
	}
	switch w.rng.IntN(4) {
	case 3:
		if m.isUp {
			m.reboot()
		}
	case 0:
		m.die()
	case 1:
		m.faulty = true
	case 2:
		m.interruptionAt = w.now.Add(w.between(3*time.Second, 12*time.Second))
		w.after(m.interruptionAt.Sub(w.now), m.die)
		if m.isUp {
			m.heartbeatSoon()
		}
	}
}

func (w *World) outage(d time.Duration) {
	if w.store.down {
		return
	}
	held := w.lease.held(w.now)
	w.store.down = true
	w.after(d, func() {
		w.store.down = false
		if held {
			w.lease.until = w.now.Add(w.options.LeaseTTL) // all leases have their full time again
		}
	})
}
