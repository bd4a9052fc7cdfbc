// Package placement decides which waiting task goes where: quota, constraints,
// and a round of decisions that stops when its budget is spent and goes on
// from there the next time.
package placement

import (
	"math"
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
	Machine          *fleet.Machine
	Type             *Type
	Zone             string
	Spot             bool
	CPUs, GPUs, MemG float64
	Room             int  // how many more attempts its record can hold
	Future           bool // is booting: counts as coming, takes no tasks yet
	reserved         *spare
}

// NewSlot makes the slot of a machine.
func NewSlot(m *fleet.Machine, t *Type, maxEntries int) *Slot {
	c, g, mem := m.Used()
	return &Slot{Machine: m, Type: t, Zone: m.Zone, Spot: m.Spot, CPUs: t.CPUs - c, GPUs: t.GPUs - g,
		MemG: t.MemGB - mem, Room: maxEntries - len(m.Tasks)}
}

// Take books a task of the job.
func (s *Slot) Take(sp *pipeline.Spec) {
	s.CPUs, s.GPUs, s.MemG, s.Room = s.CPUs-sp.CPUs, s.GPUs-sp.GPUs, s.MemG-sp.MemGB, s.Room-1
	if r := s.reserved; r != nil {
		r.cpus, r.gpus, r.mem = r.cpus-sp.CPUs, r.gpus-sp.GPUs, r.mem-sp.MemGB
	}
}

// Unreserve lifts a round's reservation, for planning in which the job that the
// room is kept for is booked itself.
func (s *Slot) Unreserve() { s.reserved = nil }

// Allowed tells whether the job may use the slot's type, zone and kind.
func (s *Slot) Allowed(sp *pipeline.Spec) bool {
	return sp.AllowsType(s.Type.Name) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// Free is how many tasks of the job the slot still takes.
func (s *Slot) Free(sp *pipeline.Spec) int {
	n := min(HowMany(s.CPUs, s.GPUs, s.MemG, sp), s.Room)
	if r := s.reserved; r != nil {
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

// waste is how much of the slot's worth becomes unusable for others if the job
// takes it: a task without GPUs on a machine with GPUs, say.
func waste(s *Slot, sp *pipeline.Spec) float64 {
	if sp.GPUs == 0 && s.Type.GPUs > 0 {
		return Share(s.Type, sp)
	}
	return 0
}

// secondsPerDollarHour weighs a dearer place against time lost on fetching.
const secondsPerDollarHour = 1.0

// Score ranks slots for a task; the lowest is best. It adds up the time until
// the image is there, what the place costs, and a little for untouched
// machines, so that machines empty out.
func Score(now time.Time, s *Slot, j *pipeline.Job) float64 {
	sp := &j.Spec
	score := (Share(s.Type, sp) + waste(s, sp)) * s.Type.Price(s.Spot) * secondsPerDollarHour
	if s.Machine != nil {
		score += s.Machine.FetchLeft(now, sp.Image, sp.ImageGB, s.Type.FetchGBPerS).Seconds()
	}
	if s.Machine != nil && len(s.Machine.Tasks) == 0 {
		score += 1
	}
	if s.Machine != nil && s.Machine.Errors > 0 {
		score += 60 // on probation
	}
	return score
}

// Decision puts a task of a job on a machine.
type Decision struct {
	Job  *pipeline.Job
	Task int
	Slot *Slot
}

// Board is what a round decides on.
type Board struct {
	Now     time.Time
	Jobs    []*pipeline.Job // in ready order
	Slots   []*Slot
	Team    func(name string) Team
	Usage   func(team string) (cpus, gpus float64)
	InZones func(ref string) map[string]int // what of a job may be on machines
	Busy    func(ref string) int
	Commit  func(Decision)
	Unmet   func(j *pipeline.Job, tasks int)
	EndOf   func(a *fleet.Attempt) time.Time // when an attempt is expected to leave
	Due     func(j *pipeline.Job) time.Time  // when a job must start to keep its next aim
	// MayStop tells whether an attempt may be stopped for a job, and what that
	// would cost in seconds; Stop stops it.
	MayStop func(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool)
	Stop    func(a *fleet.Attempt)
	Spent   func() bool
}

// Round is a round of decisions that may take several goes.
type Round struct {
	resume string // the job it stopped before
}

// Run goes through the jobs from where it last stopped until all were looked
// at or the budget is spent; it tells whether it came to the end.
func (r *Round) Run(b *Board) bool {
	from := 0
	if r.resume != "" {
		for i, j := range b.Jobs {
			if j.Ref == r.resume {
				from = i
			}
		}
	}
	r.resume = ""
	for _, j := range b.Jobs[from:] {
		if b.Spent != nil && b.Spent() {
			r.resume = j.Ref
			return false
		}
		if j.Phase() != pipeline.Active || j.Count(pipeline.Waiting) == 0 {
			continue
		}
		if j.Shape == pipeline.Gang {
			b.placeGang(j)
		} else {
			b.placeTasks(j)
		}
	}
	return true
}

// quotaRoom is how many more tasks of the job its team's limit allows.
func (b *Board) quotaRoom(j *pipeline.Job) int {
	t := b.Team(j.Team)
	c, g := b.Usage(j.Team)
	n := maxPerMachine * 1000
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-c+slack)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-g+slack)/j.GPUs))
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

// best is the slot with the lowest score of those that take the task.
func (b *Board) best(j *pipeline.Job, task int, zones map[string]int, only string) *Slot {
	var best *Slot
	low := math.Inf(1)
	for _, s := range b.Slots {
		if s.Future || (only != "" && s.Zone != only) || !s.Allowed(&j.Spec) || s.Free(&j.Spec) < 1 || ZoneRoom(j, s.Zone, zones) < 1 {
			continue
		}
		if s.Machine.Tasks[fleet.Key{Ref: j.Ref, Task: task}] != nil || j.BadOn[s.Machine.Name] {
			continue
		}
		if sc := Score(b.Now, s, j); sc < low {
			best, low = s, sc
		}
	}
	return best
}

func (b *Board) placeTasks(j *pipeline.Job) {
	room := b.quotaRoom(j)
	blocked, unmet := false, 0
	for i := j.NextWaiting(b.Now, 0); i >= 0 && room > 0; i = j.NextWaiting(b.Now, i+1) {
		if !blocked {
			zones := b.InZones(j.Ref)
			if s := b.best(j, i, zones, ""); s != nil {
				s.Take(&j.Spec)
				b.Commit(Decision{j, i, s})
				room--
				continue
			}
			blocked = true
			b.wait(j, b.InZones(j.Ref))
		}
		unmet++
		room--
	}
	if unmet > 0 {
		b.Unmet(j, unmet)
	}
}

// placeGang places all tasks of a gang or none. Nothing of an earlier attempt
// may be left anywhere.
func (b *Board) placeGang(j *pipeline.Job) {
	n := len(j.Tasks)
	if b.Busy(j.Ref) > 0 || j.Count(pipeline.Waiting) < n || b.quotaRoom(j) < n {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].NotUntil.After(b.Now) {
			return
		}
	}
	zones := []string{""}
	if j.OneZone && n > 1 {
		zones = b.zoneNames()
	}
	for _, z := range zones {
		if chosen := b.tryGang(j, z); chosen != nil {
			for i, s := range chosen {
				b.Commit(Decision{j, i, s})
			}
			return
		}
	}
	if n == 1 {
		b.wait(j, nil)
	}
	b.Unmet(j, n)
}

func (b *Board) zoneNames() []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range b.Slots {
		if !seen[s.Zone] {
			seen[s.Zone] = true
			out = append(out, s.Zone)
		}
	}
	return out
}

func (b *Board) tryGang(j *pipeline.Job, zone string) []*Slot {
	var chosen []*Slot
	zones := map[string]int{}
	saved := map[*Slot]Slot{}
	for i := range j.Tasks {
		s := b.best(j, i, zones, zone)
		if s == nil {
			for p, old := range saved {
				*p = old
			}
			return nil
		}
		if _, ok := saved[s]; !ok {
			saved[s] = *s
		}
		s.Take(&j.Spec)
		zones[s.Zone]++
		chosen = append(chosen, s)
	}
	return chosen
}
