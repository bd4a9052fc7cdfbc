package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gingertally/internal/client"
)

// Users keep so many jobs open: as soon as one is done, another is submitted.
type Users struct {
	Controllers []string // addresses
	OpenJobs    int
	MaxTasks    int // of a job
	Team        string
	Class       string
	Urgency     string
	First       int // number of the first user, so that users of one history differ
	History     *History
	RunTime     time.Duration // that they give as their estimate
	Profile     JobProfile
}

const (
	// callBudget bounds the tries of one call at one controller; then another is tried.
	callBudget = 1500 * time.Millisecond
	// submitBudget is the same for a submission: long enough to come again once when told to.
	submitBudget = 35 * time.Second
	// pollPause is the pause between two questions about a job.
	pollPause = time.Second
	// saveInterval and saveTime are what users say of tasks that save.
	saveInterval = time.Second
	saveTime     = 100 * time.Millisecond
	// firstRef begins the numbers of the users' jobs.
	firstRef = 100_000
)

// Run submits and asks until ctx ends, and then asks until all jobs are over or the drain
// time has passed.
func (u *Users) Run(ctx context.Context, drain time.Duration) {
	finished := make(chan struct{}, u.OpenJobs)
	for i := range u.OpenJobs {
		go func() {
			u.oneAfterAnother(ctx, i, drain)
			finished <- struct{}{}
		}()
	}
	for range u.OpenJobs {
		<-finished
	}
}

// oneAfterAnother is one user, whose jobs follow each other.
func (u *Users) oneAfterAnother(ctx context.Context, user int, drain time.Duration) {
	asking, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { time.AfterFunc(drain, stop) })
	for n := 0; ctx.Err() == nil; n++ {
		ref := fmt.Sprintf("j-%d%06d", firstRef+u.First+user, n)
		if u.submit(asking, ref, 1+rand.IntN(u.MaxTasks)) {
			u.follow(asking, ref)
		}
	}
}

// anyController is a client of a controller by chance.
func (u *Users) anyController(budget time.Duration) *client.Client {
	return &client.Client{Addr: u.Controllers[rand.IntN(len(u.Controllers))], Budget: budget}
}

func (u *Users) submit(ctx context.Context, ref string, tasks int) bool {
	u.History.submitted(ref, u.Team, tasks, u.Profile)
	mark, save := 0.0, 0.0
	if u.Profile.Saves {
		mark, save = saveInterval.Seconds(), saveTime.Seconds()
	}
	job := fmt.Appendf(nil, `{"ref":%q,"lot_kind":%q,"owner":%q,"shape":"sweep","urgency":%q,"lots":%d,"vcpus":2,"cards":0,"mem_gb":4,
		"kit":"i","pull_gb":0.1,"one_zone":false,"apart":false,"loaners":false,"guess_s":%g,"mark_s":%g,"stash_s":%g}`, ref, u.Class, u.Team, u.Urgency, tasks, u.RunTime.Seconds(), mark, save)
	for ctx.Err() == nil {
		if _, err := u.anyController(submitBudget).Submit(ctx, job); err == nil {
			u.History.accepted(ref)
			return true
		} else if errors.Is(err, client.ErrRefused) {
			u.History.told(ref, "")
			return false
		}
		pause(ctx, pollPause/4)
	}
	return false
}

// follow asks about a job until it is over.
func (u *Users) follow(ctx context.Context, ref string) {
	for ctx.Err() == nil {
		run, err := u.anyController(callBudget).Get(ctx, ref)
		switch {
		case errors.Is(err, client.ErrNotFound):
			u.History.told(ref, "")
			return
		case err == nil:
			u.History.told(ref, run.Status)
			if run.Over() {
				return
			}
		}
		pause(ctx, pollPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
