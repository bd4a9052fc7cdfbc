// Package placement decides which waiting task goes where: quota, constraints,
// and a round of decisions that stops when its budget is spent and goes on
// from there the next time.
package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Type is a machine type with its present prices.
type Type struct {
	Name             string
	CPUs, GPUs       float64
	MemGB, CacheGB   float64
	FetchGBPerS      float64
	Hourly, SpotHour float64
	Boot             time.Duration
	Zones            []string
}

// Price is what an hour of the type costs.
func (t *Type) Price(spot bool) float64 {
	if spot {
		return t.SpotHour
	}
	return t.Hourly
}

// InZone tells whether the type is offered in a zone.
func (t *Type) InZone(zone string) bool {
	for _, z := range t.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// Catalog holds the machine types by name.
type Catalog map[string]*Type

// Images are the size of a type's image cache and its rate of fetching.
func (c Catalog) Images(typ string) (cacheGB, gbPerS float64) {
	if t := c[typ]; t != nil {
		return t.CacheGB, t.FetchGBPerS
	}
	return math.Inf(1), 0
}

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Fits tells whether one task fits an empty machine of the type.
func (t *Type) Fits(s *pipeline.Spec) bool { return t.Capacity(s) > 0 }

// Capacity is how many tasks of the job fit an empty machine of the type.
func (t *Type) Capacity(s *pipeline.Spec) int { return HowMany(t.CPUs, t.GPUs, t.MemGB, s) }

// maxPerMachine bounds how many tasks are counted onto one machine.
const maxPerMachine = 1000

// HowMany is how many tasks of the job fit into some free room.
func HowMany(cpus, gpus, mem float64, s *pipeline.Spec) int {
	n := maxPerMachine
	for _, p := range [3][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemGB}} {
		if p[1] > 0 {
			n = min(n, int((p[0]+slack)/p[1]))
		}
	}
	return max(n, 0)
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct{ CPUs, GPUs, CPUsMax, GPUsMax float64 }

// Within tells whether an amount is within the team's limits.
func (t Team) Within(cpus, gpus float64) bool {
	return (t.CPUsMax == 0 || cpus <= t.CPUsMax+slack) && (t.GPUsMax == 0 || gpus <= t.GPUsMax+slack)
}

// Possible tells whether a job could ever run: some allowed type, in an allowed
// zone, fits a task, and the team's limit allows what has to run at once.
func Possible(s *pipeline.Spec, team Team, c Catalog) bool {
	n := 1.0
	if s.Shape != pipeline.Array {
		n = float64(s.Tasks)
	}
	if !team.Within(n*s.CPUs, n*s.GPUs) {
		return false
	}
	for _, t := range c {
		if !s.AllowsType(t.Name) || !t.Fits(s) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == "" || s.Zone == z {
				return true
			}
		}
	}
	return false
}

// Slot is a machine as a round sees it: what is free, and what it costs.
type Slot struct {
	Machine          *fleet.Machine // nil: only planned to be rented
	Type             *Type
	Zone             string
	Spot             bool
	CPUs, GPUs, MemG float64
	Future           bool         // is booting: counts as coming, takes no tasks yet
	lasting          fleet.Amount // what replicas of services take of it
	reserved         *spare
	pool             *Pool
}

// Take books a task of the job.
func (s *Slot) Take(sp *pipeline.Spec) {
	s.CPUs, s.GPUs, s.MemG = s.CPUs-sp.CPUs, s.GPUs-sp.GPUs, s.MemG-sp.MemGB
	if sp.Shape == pipeline.Service {
		s.lasting.CPUs, s.lasting.GPUs, s.lasting.MemGB = s.lasting.CPUs+sp.CPUs, s.lasting.GPUs+sp.GPUs, s.lasting.MemGB+sp.MemGB
	}
	if s.pool != nil {
		s.pool.stale = true
	}
	if r := s.reserved; r != nil && r.ref != sp.Ref {
		r.cpus, r.gpus, r.mem = r.cpus-sp.CPUs, r.gpus-sp.GPUs, r.mem-sp.MemGB
	}
}

// Allowed tells whether the job may use the slot's type, zone and kind.
func (s *Slot) Allowed(sp *pipeline.Spec) bool {
	return sp.AllowsType(s.Type.Name) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// Free is how many tasks of the job the slot still takes.
func (s *Slot) Free(sp *pipeline.Spec) int {
	n := HowMany(s.CPUs, s.GPUs, s.MemG, sp)
	if r := s.reserved; r != nil && r.ref != sp.Ref && n > 0 {
		n = min(n, HowMany(r.cpus, r.gpus, r.mem, sp))
	}
	return n
}

// Share is the part of a machine of the type that a task takes of its scarcest resource.
func Share(t *Type, sp *pipeline.Spec) float64 {
	share := 0.0
	for _, p := range [3][2]float64{{t.CPUs, sp.CPUs}, {t.GPUs, sp.GPUs}, {t.MemGB, sp.MemGB}} {
		if p[0] > 0 {
			share = max(share, p[1]/p[0])
		}
	}
	return share
}

// waste is the part of the slot that becomes unusable for others if the job takes it: a
// task without GPUs on a machine with GPUs, say. Beside the replicas of services there is
// often room for a task of the large work that needs the GPUs; only the replica that takes
// the last such room wastes something, and that is the machine.
func (b *Board) waste(s *Slot, sp *pipeline.Spec) float64 {
	if sp.GPUs > 0 || s.Type.GPUs == 0 {
		return 0
	}
	large := b.LargeGPUWork(s.Type)
	if sp.Shape != pipeline.Service || large == nil {
		return Share(s.Type, sp)
	}
	cpus, gpus, mem := s.Type.CPUs-s.lasting.CPUs, s.Type.GPUs-s.lasting.GPUs, s.Type.MemGB-s.lasting.MemGB
	lost := HowMany(cpus, gpus, mem, large) - HowMany(cpus-sp.CPUs, gpus, mem-sp.MemGB, large)
	return float64(lost) * Share(s.Type, large)
}

// fullerSeconds weighs an untouched machine against time lost on fetching: room
// left whole is what large tasks and gangs need, and what can be given back.
const fullerSeconds = 10.0

// lateSeconds weighs a start that misses its aim, startLag is what a start takes besides
// the wait for an answer and the fetch: the write before it, and the way there.
// probationSeconds weighs a machine on which something failed.
const (
	lateSeconds      = 15.0
	startLag         = 100 * time.Millisecond
	probationSeconds = 60.0
)

// Score ranks slots for a task of a job that is best started by a time (zero: any); the
// lowest is best. It adds up the time until the machine can be told and the image is there,
// what the place costs, and how much of the machine is free, so that room stays whole and
// machines empty out. Where a task would start too late for the aim of starting by a time
// (zero: there is none, or it has passed), that counts too.
func (b *Board) Score(s *Slot, j *pipeline.Job, startBy time.Time) float64 {
	sp := &j.Spec
	score := (Share(s.Type, sp) + b.waste(s, sp)) * s.Type.Price(s.Spot) * b.SecondsPerDollarHour
	if s.Machine != nil {
		starts := s.Machine.FetchLeft(b.Now, sp.Image, sp.ImageGB, s.Type.FetchGBPerS) + s.Machine.AnswerIn(b.Now, b.ReportEvery)
		score += starts.Seconds()
		if b.Now.Before(startBy) && b.Now.Add(starts+startLag).After(startBy) {
			score += lateSeconds
		}
	}
	score += fullerSeconds * s.CPUs / s.Type.CPUs
	if s.Machine != nil && s.Machine.Errors > 0 {
		score += probationSeconds
	}
	return score
}

// Decision puts a task of a job on a machine.
type Decision struct {
	Job   *pipeline.Job
	Task  int
	Slot  *Slot
	Delay time.Duration // how long to put its start off
}

// QueueEntry is a job's place in the queue of a round, how many of its tasks it may place there, and
// whether only where its image is there already or soon.
type QueueEntry struct {
	Job  *pipeline.Job
	Most int
	Warm bool
	// Overdue: the job has waited for so long that it comes before all others. What its
	// team's limit lacks for it is kept for it.
	Overdue bool
}

// warmWithin is how soon an image must be there for a place to count as warm.
const warmWithin = 3 * time.Second

// Board is what a round decides on.
type Board struct {
	Now          time.Time
	Queue        []QueueEntry // in ready order
	FreeCapacity *FreeCapacity
	Team         func(name string) Team
	Usage        func(team string) fleet.Amount
	InZones      func(ref string) map[string]int // what of a job may be on machines
	Busy         func(ref string) int
	Commit       func(Decision)
	Unmet        func(j *pipeline.Job, tasks int)
	EndOf        func(a *fleet.Attempt) time.Time // when an attempt is expected to leave
	Due          func(j *pipeline.Job) time.Time  // when a job must start to keep its next aim
	StartBy      func(j *pipeline.Job) time.Time  // when its tasks must have started for its next aim on starting
	// MayStop tells whether an attempt may be stopped for a job, and what that
	// would cost in seconds; Stop stops it. Preempts tells whether it is worth
	// asking.
	MayStop  func(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool)
	Stop     func(a *fleet.Attempt)
	Preempts func(by *pipeline.Job) bool
	// LargeGPUWork is the largest task of recent work that needs GPUs of a type; nil: none.
	LargeGPUWork func(t *Type) *pipeline.Spec
	// SecondsPerDollarHour weighs a dearer place against time lost on fetching.
	SecondsPerDollarHour float64
	ReportEvery          time.Duration
	// GangSlack is by how much the fetches of a gang's tasks may differ.
	GangSlack time.Duration
	// Waits is for how many jobs that have no room this round keeps or makes some;
	// without any, what the last such round kept stays so.
	Waits int
	Spent func() bool
	quota *quotaKeeper
}

// Round is a round of decisions that may take several goes.
type Round struct {
	resume string // the job it stopped before
	quota  quotaKeeper
}

// Resumes tells whether the next go continues a round.
func (r *Round) Resumes() bool { return r.resume != "" }

// Run goes through the jobs from where it last stopped until all were looked
// at or the budget is spent; it tells whether it came to the end.
func (r *Round) Run(b *Board) bool {
	from := 0
	if r.resume != "" {
		for i, t := range b.Queue {
			if t.Job.Ref == r.resume {
				from = i
				break
			}
		}
	}
	r.resume = ""
	if b.Waits > 0 && from == 0 {
		b.FreeCapacity.Clear()
	}
	if from == 0 {
		r.quota.beginRound()
	}
	b.quota = &r.quota
	for _, t := range b.Queue[from:] {
		j := t.Job
		if b.Spent != nil && b.Spent() {
			r.resume = j.Ref
			return false
		}
		if j.Phase() != pipeline.Active || j.Count(pipeline.Waiting) == 0 {
			continue
		}
		switch j.Shape {
		case pipeline.Gang:
			b.placeGang(t)
		case pipeline.Service:
			b.placeReplicas(t)
		default:
			b.placeTasks(t)
		}
	}
	return true
}

// quotaRoom is how many more tasks of the job its team's limit allows.
func (b *Board) quotaRoom(j *pipeline.Job) int {
	t, u := b.Team(j.Team), b.Usage(j.Team)
	kept := b.quota.keptFrom(j)
	u.CPUs, u.GPUs = u.CPUs+kept.CPUs, u.GPUs+kept.GPUs
	n := maxPerMachine * 1000
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs+slack)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs+slack)/j.GPUs))
	}
	return max(n, 0)
}

// ZoneRoom is how many more tasks of the job a zone may take, given where others are.
func ZoneRoom(j *pipeline.Job, zone string, zones map[string]int) int {
	n := len(j.Tasks)
	if j.OneZone {
		for z, k := range zones {
			if k > 0 && z != zone {
				return 0
			}
		}
	}
	if j.Spread {
		n = min(n, (len(j.Tasks)+1)/2-zones[zone])
	}
	return n
}

// scored is a slot with its score for a job.
type scored struct {
	*Slot
	score float64
}

// open lists the slots with room for the job, the best first.
func (b *Board) open(j *pipeline.Job, zone string) []scored {
	var out []scored
	startBy := b.StartBy(j)
	b.FreeCapacity.EachOpen(&j.Spec, zone, func(s *Slot) {
		if !s.held(b.Now) && !j.Avoids(b.Now, s.Machine.Name) {
			out = append(out, scored{s, b.Score(s, j, startBy)})
		}
	})
	sort.SliceStable(out, func(i, k int) bool { return out[i].score < out[k].score })
	return out
}

// placeTasks places as many tasks of an array as there is room for, and at most so many.
// Slots are filled one after the other, since a task more on a machine that has
// the image, or is in use, costs nothing more.
func (b *Board) placeTasks(entry QueueEntry) {
	j := entry.Job
	room := min(b.quotaRoom(j), entry.Most)
	want := min(room, j.Count(pipeline.Waiting))
	if want == 0 {
		return
	}
	slots := b.open(j, "")
	task := j.NextWaiting(b.Now, 0)
	if task < 0 {
		return
	}
	placed := 0
	for _, s := range slots {
		if entry.Warm && s.Machine.FetchLeft(b.Now, j.Image, j.ImageGB, s.Type.FetchGBPerS) > warmWithin {
			continue
		}
		for task >= 0 && placed < want && s.Free(&j.Spec) > 0 && ZoneRoom(j, s.Zone, b.InZones(j.Ref)) > 0 &&
			s.Machine.Tasks[fleet.Key{Ref: j.Ref, Task: task}] == nil {
			s.Take(&j.Spec)
			b.Commit(Decision{Job: j, Task: task, Slot: s.Slot})
			placed++
			task = j.NextWaiting(b.Now, task+1)
		}
	}
	if unmet := want - placed; unmet > 0 && task >= 0 && !entry.Warm {
		b.wait(j, 1, b.InZones(j.Ref))
		b.Unmet(j, unmet)
	}
}

// placeGang places all tasks of a gang or none. Nothing of an earlier attempt
// may be left anywhere.
func (b *Board) placeGang(entry QueueEntry) {
	j := entry.Job
	n := len(j.Tasks)
	if b.Busy(j.Ref) > 0 || j.Count(pipeline.Waiting) < n {
		return
	}
	if b.quotaRoom(j) < n {
		if entry.Overdue {
			b.quota.keepFor(b.Now, j)
		}
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].NotUntil.After(b.Now) {
			return
		}
	}
	var best []*Slot
	low := math.Inf(1)
	for _, z := range b.gangZones(j) {
		if chosen, score := b.tryGang(j, z); chosen != nil && score < low {
			best, low = chosen, score
		}
	}
	if best != nil {
		b.startGang(j, best)
		return
	}
	b.wait(j, n, map[string]int{})
	b.Unmet(j, n)
}

// startGang places a gang. A task that has its image waits only so long for the
// others, so where the fetches differ by more, the quick ones are started later.
// A fetch mostly takes less than expected, and the gang starts with its last one,
// so a part of the longest is left out.
func (b *Board) startGang(j *pipeline.Job, slots []*Slot) {
	fetch := make([]time.Duration, len(slots))
	for i, s := range slots {
		fetch[i] = s.Machine.FetchLeft(b.Now, j.Image, j.ImageGB, s.Type.FetchGBPerS)
	}
	last := slices.Max(fetch)
	for i, s := range slots {
		s.Take(&j.Spec)
		b.Commit(Decision{Job: j, Task: i, Slot: s, Delay: max(0, last*4/5-fetch[i]-b.GangSlack)})
	}
}

// gangZones are the zones to try one by one; an empty name stands for all.
func (b *Board) gangZones(j *pipeline.Job) []string {
	if j.OneZone && len(j.Tasks) > 1 {
		return b.FreeCapacity.Zones()
	}
	return []string{""}
}

// tryGang chooses places for a whole gang. Its score is that of the worst place,
// since a gang starts with its last image, and a little for all the others.
func (b *Board) tryGang(j *pipeline.Job, zone string) ([]*Slot, float64) {
	var chosen []*Slot
	zones := map[string]int{}
	worst, sum := 0.0, 0.0
	for _, s := range b.open(j, zone) {
		for range s.Free(&j.Spec) {
			i := len(chosen)
			if i == len(j.Tasks) || ZoneRoom(j, s.Zone, zones) < 1 || s.Machine.Tasks[fleet.Key{Ref: j.Ref, Task: i}] != nil {
				break
			}
			zones[s.Zone]++
			chosen = append(chosen, s.Slot)
			worst, sum = max(worst, s.score), sum+s.score
		}
	}
	if len(chosen) < len(j.Tasks) {
		return nil, 0
	}
	return chosen, worst + sum/float64(len(chosen))
}
