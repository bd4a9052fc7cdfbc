// Package surge plays teams that ask for more than a deployment can do, in simulated time:
// users that come again as the protocol says, controllers with the real admission gates, a
// leader with the real planner, and machines that work off what was admitted. It shows what
// share of the capacity each team and class gets, and how long its jobs wait.
package surge

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// Class is a class of a team's jobs.
type Class struct {
	Team, Name string
	Priority   pipeline.Priority
	Tasks      int
	CPUs       float64 // of a task
	Run        time.Duration
	// PerSecond is how many jobs come in a second, by the time since the beginning.
	PerSecond func(at time.Duration) float64
	// Impatient users come again at once, whatever Retry-After says.
	Impatient bool
	// One controller gets all of the class's jobs, if it is set.
	OneController bool
}

// Options are a deployment and its load.
type Options struct {
	Seed        uint64
	Length      time.Duration
	Controllers int
	Teams       map[string]placement.Quota
	Weights     map[string]float64
	Classes     []Class
	CPUs        func(at time.Duration) float64
	JobsRate    float64 // that the state service takes in a second
	Admission   bool
	Settings    Settings
	Faults      []Fault
	Skew        time.Duration // of the controllers' clocks, either way
}

// Settings are the operators' settings of the admission.
type Settings struct {
	Floor                                float64
	EnterBacklog, ExitBacklog, PolicyAge time.Duration
	Interval                             time.Duration
}

// Fault is a trouble for a while.
type Fault struct {
	From, For  time.Duration
	Leader     bool  // the leader ends; another leads 3 s later
	Store      bool  // the state service is out: no policy is stored
	Cut        []int // controllers that hear no leader
	Delayed    time.Duration
	TwiceAgain bool // policies come twice, the second time late
}

// step is the resolution of the played time.
const step = 100 * time.Millisecond

// takeoverTime is how long nobody leads after a leader's end.
const takeoverTime = 3500 * time.Millisecond

// userPatience is for how long users come again (PROTOCOL).
const userPatience = time.Minute

// job is one job of a user.
type job struct {
	class    int
	ref      string
	since    time.Duration // when it was first submitted
	spec     pipeline.Spec
	admitted time.Duration
	tasks    int // that haven't started
}

// running is a task on a machine.
type running struct {
	class int
	until time.Duration
}

// World is a deployment under load.
type World struct {
	o        Options
	rng      *rand.Rand
	now      time.Duration
	gates    []*admission.Gate
	planner  *admission.Planner
	stored   admission.Policy
	term     uint64
	vacant   time.Duration // nobody leads until then
	planned  time.Duration
	asking   map[time.Duration][]*job // by when they ask next
	queue    []*job                   // admitted, with tasks that wait
	running  []running
	used     float64 // GuaranteedCPUs
	busy     []float64
	arrivals []float64
	jobs     int
	result   *Result
	onItsWay []delivery
}

// delivery is a policy on its way to a controller.
type delivery struct {
	at     time.Duration
	to     int
	policy admission.Policy
}

// start is the moment at which every world begins.
var start = time.Unix(1_800_000_000, 0)

// New makes a world.
func New(o Options) *World {
	w := &World{o: o, rng: rand.New(rand.NewPCG(o.Seed, 31)), asking: map[time.Duration][]*job{}, term: 1,
		busy: make([]float64, len(o.Classes)), arrivals: make([]float64, len(o.Classes)), result: newResult(o)}
	var teams []string
	for name := range o.Teams {
		teams = append(teams, name)
	}
	sort.Strings(teams)
	for i := range o.Controllers {
		w.gates = append(w.gates, admission.NewGate(w.clock(i), admission.GateOptions{Weights: o.Weights, Teams: teams,
			Jobs: o.JobsRate / float64(o.Controllers), PolicyAge: o.Settings.PolicyAge}))
	}
	w.elect(admission.Policy{})
	return w
}

// clock is the time at a controller.
func (w *World) clock(controller int) time.Time {
	skew := w.o.Skew
	if controller%2 == 1 {
		skew = -skew
	}
	return start.Add(w.now + skew)
}

// elect begins the next leader's term.
func (w *World) elect(stored admission.Policy) {
	w.planner = admission.NewPlanner(start.Add(w.now), admission.PlannerOptions{Teams: w.o.Teams, Weights: w.o.Weights, Floor: w.o.Settings.Floor,
		EnterBacklog: w.o.Settings.EnterBacklog, ExitBacklog: w.o.Settings.ExitBacklog, Interval: w.o.Settings.Interval}, w.term, stored)
}

// Run plays the world to its end.
func (w *World) Run() *Result {
	for ; w.now < w.o.Length; w.now += step {
		w.faults()
		w.deliver()
		w.result.noteSpread(w)
		w.arrive()
		w.ask()
		w.work()
		if w.o.Admission && w.now >= w.planned {
			w.planned = w.now + w.o.Settings.Interval
			w.plan()
		}
		w.result.sample(w)
	}
	return w.result
}

// active tells whether a fault of a kind is on.
func (w *World) active(kind func(*Fault) bool) *Fault {
	for i := range w.o.Faults {
		f := &w.o.Faults[i]
		if kind(f) && w.now >= f.From && w.now < f.From+f.For {
			return f
		}
	}
	return nil
}

// faults ends leaders, and has the next one lead.
func (w *World) faults() {
	for i := range w.o.Faults {
		if f := &w.o.Faults[i]; f.Leader && w.now >= f.From && w.now < f.From+step {
			w.vacant, w.planner = w.now+takeoverTime, nil
		}
	}
	if w.planner == nil && w.now >= w.vacant && w.active(func(f *Fault) bool { return f.Store }) == nil {
		w.term++
		w.elect(w.stored)
	}
}

// arrive has new jobs come.
func (w *World) arrive() {
	for i := range w.o.Classes {
		c := &w.o.Classes[i]
		w.arrivals[i] += c.PerSecond(w.now) * step.Seconds()
		for ; w.arrivals[i] >= 1; w.arrivals[i]-- {
			w.jobs++
			j := &job{class: i, ref: fmt.Sprintf("j-%09d", w.jobs), since: w.now, tasks: c.Tasks}
			j.spec = pipeline.Spec{Ref: j.ref, Class: c.Name, Team: c.Team, Priority: c.Priority, Tasks: c.Tasks, CPUs: c.CPUs, Estimate: c.Run}
			w.result.offered[i]++
			w.asking[w.now] = append(w.asking[w.now], j)
		}
	}
}

// ask has all users ask whose time has come.
func (w *World) ask() {
	asking := w.asking[w.now]
	delete(w.asking, w.now)
	for _, j := range asking {
		w.askOnce(j)
	}
}

func (w *World) askOnce(j *job) {
	c := &w.o.Classes[j.class]
	controller := w.rng.IntN(len(w.gates))
	if c.OneController {
		controller = 0
	}
	d := admission.Admit
	switch {
	case w.active(func(f *Fault) bool { return f.Store }) != nil:
		d = admission.Decision{RetryAfter: time.Second} // 503
	case w.o.Admission:
		d = w.gates[controller].Decide(w.clock(controller), admission.Offer{Job: j.ref, Spec: &j.spec})
		w.result.decided(w, j, d)
	}
	if d.Admitted {
		j.admitted = w.now
		w.queue = append(w.queue, j)
		w.result.admitted(w, j)
		return
	}
	pause := d.RetryAfter
	if c.Impatient {
		pause = time.Second
	}
	next := (w.now + pause + time.Duration(w.rng.Int64N(int64(step*3)))).Truncate(step) + step
	if next-j.since > userPatience {
		w.result.gaveUp[j.class]++
		return
	}
	w.asking[next] = append(w.asking[next], j)
}

// work ends tasks, and starts those that wait in the order in which the core would: by
// priority, and within it the team first that uses least for its weight. Without admission
// the oldest go first.
func (w *World) work() {
	left := w.running[:0]
	for _, r := range w.running {
		if r.until > w.now {
			left = append(left, r)
			continue
		}
		w.used -= w.o.Classes[r.class].CPUs
		w.busy[r.class] -= w.o.Classes[r.class].CPUs
	}
	w.running = left
	capacity := w.o.CPUs(w.now)
	for {
		i := w.nextInQueue(capacity - w.used)
		if i < 0 {
			return
		}
		w.startTask(i)
	}
}

// nextInQueue is the job of which a task is to start next; -1 if there is none. Room is kept
// for a job that has waited beyond the starvation bound.
func (w *World) nextInQueue(free float64) int {
	best := -1
	seen := map[int]bool{}
	for i, j := range w.queue {
		if seen[j.class] || w.o.Classes[j.class].CPUs > free && !w.starving(j) {
			continue
		}
		seen[j.class] = true // the jobs of a class are in the order in which they came
		if best < 0 || w.before(j, w.queue[best]) {
			best = i
		}
		if len(seen) == len(w.o.Classes) {
			break
		}
	}
	if best >= 0 && w.o.Classes[w.queue[best].class].CPUs > free {
		return -1
	}
	return best
}

// starvationBound is after how long of waiting a job goes before others that aren't urgent,
// as in the core.
const starvationBound = 150 * time.Second

func (w *World) starving(j *job) bool { return w.now-j.admitted > starvationBound }

func (w *World) before(a, b *job) bool {
	x, y := &w.o.Classes[a.class], &w.o.Classes[b.class]
	urgentX, urgentY := x.Priority <= pipeline.High, y.Priority <= pipeline.High
	switch {
	case urgentX != urgentY:
		return urgentX
	case w.starving(a) != w.starving(b):
		return w.starving(a)
	case x.Priority != y.Priority:
		return x.Priority < y.Priority
	case w.o.Admission && x.Team != y.Team:
		return w.useOf(x.Team) < w.useOf(y.Team)
	}
	return a.admitted < b.admitted
}

// useOf is what a team uses for its weight.
func (w *World) useOf(team string) float64 {
	sum := 0.0
	for i := range w.o.Classes {
		if w.o.Classes[i].Team == team {
			sum += w.busy[i]
		}
	}
	weight := 1.0
	if v, set := w.o.Weights[team]; set {
		weight = v
	}
	return sum / weight
}

func (w *World) startTask(i int) {
	j := w.queue[i]
	c := &w.o.Classes[j.class]
	w.used += c.CPUs
	w.busy[j.class] += c.CPUs
	w.running = append(w.running, running{j.class, w.now + c.Run})
	if j.tasks == c.Tasks {
		w.result.started(w, j)
	}
	if j.tasks--; j.tasks == 0 {
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
	}
}

// backlog is how long the machines need for what waits.
func (w *World) backlog() time.Duration {
	work := 0.0
	for _, j := range w.queue {
		c := &w.o.Classes[j.class]
		work += float64(j.tasks) * c.CPUs * c.Run.Seconds()
	}
	return time.Duration(work / w.o.CPUs(w.now) * float64(time.Second))
}

// plan is the leader's round: it gathers the counts of the controllers that it reaches,
// makes a policy, stores it, and sends it to them.
func (w *World) plan() {
	if w.planner == nil {
		return
	}
	cut := map[int]bool{}
	if f := w.active(func(f *Fault) bool { return f.Cut != nil }); f != nil {
		for _, i := range f.Cut {
			cut[i] = true
		}
	}
	load := admission.Load{Rates: admission.Rates{CPUs: w.o.CPUs(w.now), Jobs: w.o.JobsRate}, Backlog: w.backlog()}
	for i, g := range w.gates {
		if !cut[i] {
			load.Batches = append(load.Batches, g.TakeCounts(w.clock(i)))
		}
	}
	policy, changed := w.planner.Plan(start.Add(w.now), load)
	if changed {
		if w.active(func(f *Fault) bool { return f.Store }) != nil {
			return // not stored, so nobody hears of it
		}
		w.stored = policy
		w.result.policies++
		w.result.storedAt, w.result.spread = w.now, false
	}
	delay := 20 * time.Millisecond
	f := w.active(func(f *Fault) bool { return f.Delayed > 0 || f.TwiceAgain })
	if f != nil {
		delay += f.Delayed
	}
	for i := range w.gates {
		if cut[i] {
			continue
		}
		w.onItsWay = append(w.onItsWay, delivery{w.now + delay, i, w.stored})
		if f != nil && f.TwiceAgain {
			w.onItsWay = append(w.onItsWay, delivery{w.now + delay + 5*time.Second, i, w.stored})
		}
	}
}

// deliver brings policies to controllers.
func (w *World) deliver() {
	left := w.onItsWay[:0]
	for _, d := range w.onItsWay {
		if d.at > w.now {
			left = append(left, d)
			continue
		}
		before := *w.gates[d.to].Policy()
		w.gates[d.to].Take(w.clock(d.to), d.policy)
		if after := w.gates[d.to].Policy(); before.Newer(after) {
			w.result.fail("controller %d went back from policy %d.%d to %d.%d", d.to, before.Term, before.Number, after.Term, after.Number)
		}
	}
	w.onItsWay = left
}
