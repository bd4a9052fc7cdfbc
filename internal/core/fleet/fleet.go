// Package fleet holds what is known of the machines: their states, their
// leases, and where each attempt may still be.
package fleet

import (
	"time"
)

// TaskState is the state of an attempt on its machine.
type TaskState uint8

// States of an attempt. The first three are known only here; the rest are what
// the machine reports.
const (
	Intended TaskState = iota // decided; the store doesn't hold it yet
	Recorded                  // the store holds that it may be on the machine
	Sent                      // the start went out in a report's response
	Fetching
	WaitingForGang
	Running
	Saving
	Exited
)

// Cause says why a task exited.
type Cause uint8

// Causes of exits.
const (
	CauseNone Cause = iota
	CauseDone
	CauseStopped
	CauseMatesGone
	CauseAlone
	CauseError
	CauseNoRoom
	CauseBusy
	CauseUnknown
)

// Op is a command to a worker.
type Op uint8

// Commands to workers.
const (
	Start Op = iota
	Stop
	Forget
)

// Command is one command to a worker.
type Command struct {
	Op      Op
	Ref     string
	Task    int
	Attempt uint64
	Grace   time.Duration
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Ref     string
	Task    int
	Attempt uint64
	State   TaskState
	Cause   Cause
	Saved   bool
}

// Report is a worker's report.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	Notice                    time.Duration // negative: none
	Tasks                     []TaskReport
}

// Key names a task.
type Key struct {
	Ref  string
	Task int
}

// Attempt is one attempt that is, or may be, on a machine.
type Attempt struct {
	Key
	On         *Machine
	Page       *Page // the page of the start log that names it; nil: none does yet
	Number     uint64
	state      TaskState
	Cause      Cause
	CommandSeq uint64 // the report in answer to which the machine was last told something about it
	Inherited  bool   // from an earlier term: only a report under this term's token proves it gone
	Foreign    bool   // not wanted here; stopped and never counted as a result of ours
	StopAt     time.Time
	Stopping   bool
	Grace      time.Duration
	Handled    bool // the exit was dealt with; the worker may forget it
	Lasting    bool // a service's: stays until the service is cancelled
	CPUs       float64
	GPUs       float64
	MemGB      float64
	Image      string
	Since      time.Time // when it entered its state
	RunStart   time.Time
	NotBefore  time.Time     // when its start may leave
	SentAt     time.Time     // when its start left
	FetchGuess time.Duration // how long its image was then expected to take
}

// State returns the attempt's state.
func (a *Attempt) State() TaskState { return a.state }

// move is the one place where an attempt changes state. It returns false if
// nothing changes; an exit is final.
func (a *Attempt) move(now time.Time, to TaskState) bool {
	if a.state == to || a.state == Exited {
		return false
	}
	a.state, a.Since = to, now
	if to == Running && a.RunStart.IsZero() {
		a.RunStart = now
	}
	return true
}

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	Booting   MachineState = iota // rented or listed, never heard of
	Unheard                       // the records say that tasks may be on it; not heard under this term
	Live                          // reports
	Silent                        // has stopped reporting
	Releasing                     // a release is under way
	Gone                          // proven gone
)

var machineStateNames = [...]string{"booting", "unheard", "live", "silent", "releasing", "gone"}

func (s MachineState) String() string { return machineStateNames[s] }

// Machine is one machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	state                  MachineState
	Session, Seq, Token    uint64    // of its newest report
	Confirmed              bool      // has reported with this term's token, or never held anything of an earlier term
	LastHeard              time.Time // when its newest report arrived
	LeaseBase              time.Time // no 200 was sent to it after this
	AnswerHeld             bool      // what is placed now goes with the answer to its last report
	FirstSeen              time.Time
	ListedAt               time.Time
	ListedRunning          bool // the cloud's last list with it said that it is up
	IdleSince              time.Time
	NoticeAt               time.Time // when the cloud takes it, zero without a notice
	Draining               bool      // gets no more starts
	Sick                   bool
	HoldUntil              time.Time // gets no starts until then
	CheckAt                time.Time // when it is to be looked at next
	Known                  bool      // listed by the cloud, rented, or heard under this term's token: not just an old copy's word
	OneWayLoss             OneWayLoss
	StaleReports           StaleReports
	ErrorJobs              map[string]bool
	Errors                 int
	ReleaseTries           int
	Tasks                  map[Key]*Attempt
	Images                 []Image // most recently used last
	used                   Amount
	lasting                Amount // the part of it that replicas of services take
	busy                   int
}

// Amount is a sum of what tasks take of machines.
type Amount struct{ CPUs, GPUs, MemGB float64 }

func (a *Amount) add(t *Attempt, by float64) {
	a.CPUs, a.GPUs, a.MemGB = a.CPUs+by*t.CPUs, a.GPUs+by*t.GPUs, a.MemGB+by*t.MemGB
}

// Image is an image that a machine is believed to have.
type Image struct {
	Name  string
	GB    float64
	Ready time.Time // when it is expected to be there
}

// NewMachine makes a machine in a first state.
func NewMachine(now time.Time, name, typ, zone string, spot bool, st MachineState) *Machine {
	return &Machine{Name: name, Type: typ, Zone: zone, Spot: spot, state: st, FirstSeen: now, IdleSince: now,
		Tasks: map[Key]*Attempt{}}
}

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// Move is the one place where a machine changes state; Gone is final.
func (m *Machine) Move(to MachineState) bool {
	if m.state == to || m.state == Gone {
		return false
	}
	m.state = to
	return true
}

// AnswerIn is after how long the machine's next report is expected, whose answer
// can start something there.
func (m *Machine) AnswerIn(now time.Time, every time.Duration) time.Duration {
	if m.AnswerHeld {
		return 0
	}
	return max(0, every-now.Sub(m.LastHeard))
}

// Newer tells whether a report is newer than all that have been taken in.
func (m *Machine) Newer(r *Report) bool { return r.Epoch().After(m.Epoch()) }

// LeaseOver tells whether the worker's lease has certainly ended: nobody can have
// answered it after LeaseBase, and the drift of the two clocks is allowed for
// (docs/design.md, safety argument 5; TestInheritedAttemptUntilLeaseOver).
func (m *Machine) LeaseOver(now time.Time, lease time.Duration) bool {
	return !m.LeaseBase.IsZero() && now.Sub(m.LeaseBase) > lease+leaseDrift(lease)+time.Second
}

// Used returns what all that may be on the machine takes of it. Exited tasks
// take nothing.
func (m *Machine) Used() Amount { return m.used }

// Lasting returns what replicas of services take of the machine.
func (m *Machine) Lasting() Amount { return m.lasting }

func (m *Machine) count(a *Attempt, by float64) {
	m.used.add(a, by)
	if a.Lasting {
		m.lasting.add(a, by)
	}
}

// Busy counts the attempts that may be on the machine.
func (m *Machine) Busy() int { return m.busy }

// Add notes an attempt that is, or may be, on the machine.
func (m *Machine) Add(now time.Time, a *Attempt, st TaskState) {
	a.On, a.state, a.Since = m, st, now
	if st == Running {
		a.RunStart = now
	}
	m.Tasks[a.Key] = a
	if st != Exited {
		m.busy++
		m.count(a, 1)
	}
}

// MoveAttempt takes an attempt to another state; it returns false if nothing changes.
func (m *Machine) MoveAttempt(now time.Time, a *Attempt, to TaskState) bool {
	if !a.move(now, to) {
		return false
	}
	if to == Exited {
		m.busy--
		m.count(a, -1)
		if m.busy == 0 {
			m.used, m.lasting = Amount{}, Amount{} // no rounding is carried on
		}
	}
	return true
}

// Drop removes an attempt that is proven gone, or forgotten by its worker.
func (m *Machine) Drop(now time.Time, k Key) {
	delete(m.Tasks, k)
	if len(m.Tasks) == 0 {
		m.IdleSince = now
	}
}

// Blame counts a bad exit of a job on the machine; Forgive forgets all.
func (m *Machine) Blame(ref string) {
	if m.ErrorJobs == nil {
		m.ErrorJobs = map[string]bool{}
	}
	m.Errors++
	m.ErrorJobs[ref] = true
}

// Forgive forgets the bad exits on the machine.
func (m *Machine) Forgive() { m.Errors, m.ErrorJobs = 0, nil }

// FetchLeft is how long until an image is expected to be there; one that isn't
// being fetched yet shares the rate with those that are, until the shorter of
// the two is there.
func (m *Machine) FetchLeft(now time.Time, name string, gb, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	alone := time.Duration(gb / rate * float64(time.Second))
	all := alone
	for _, i := range m.Images {
		left := max(0, i.Ready.Sub(now))
		if i.Name == name {
			return left
		}
		all += min(alone, left)
	}
	return all
}

// UseImage notes that a task with an image was started; the cache keeps the
// most recently used ones.
func (m *Machine) UseImage(now time.Time, name string, gb, cacheGB, rate float64) {
	ready := now.Add(m.FetchLeft(now, name, gb, rate))
	m.DropImage(name)
	m.Images = append(m.Images, Image{name, gb, ready})
	var total float64
	for _, i := range m.Images {
		total += i.GB
	}
	for len(m.Images) > 1 && total > cacheGB {
		total -= m.Images[0].GB
		m.Images = m.Images[1:]
	}
}

// ImageThere notes that a task past its fetch was seen, perhaps one that an
// earlier leader started. It tells whether the image is news.
func (m *Machine) ImageThere(now time.Time, name string, gb float64) bool {
	for i := range m.Images {
		if m.Images[i].Name == name {
			if m.Images[i].Ready.After(now) {
				m.Images[i].Ready = now
			}
			return false
		}
	}
	m.Images = append(m.Images, Image{name, gb, now})
	return true
}

// FetchGivenUp notes that a task which waited for an image is gone: a machine
// gives a fetch up that no task waits for any more. Seen tells that the task was
// reported as fetching, so that the image wasn't there. It tells whether the
// image was believed there.
func (m *Machine) FetchGivenUp(now time.Time, name string, seen bool) bool {
	for _, a := range m.Tasks {
		if a.Image == name && (a.state == Sent || a.state == Fetching) {
			return false
		}
	}
	for _, i := range m.Images {
		if i.Name == name && (seen || i.Ready.After(now)) {
			m.DropImage(name)
			return true
		}
	}
	return false
}

// DropImage notes that an image isn't there after all.
func (m *Machine) DropImage(name string) {
	kept := m.Images[:0]
	for _, i := range m.Images {
		if i.Name != name {
			kept = append(kept, i)
		}
	}
	m.Images = kept
}
