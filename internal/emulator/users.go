package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gingertally/internal/client"
	"gingertally/internal/wait"
)

// Users keep a number of jobs open: as soon as one is over, its user submits the next (PROTOCOL: Users ->
// controller nodes). The fields are set before Run.
type Users struct {
	Controllers []string // addresses
	OpenJobs    int      // and so many users
	MaxTasks    int      // of a job
	Team        string
	Class       string
	Urgency     string // in the protocol's words
	First       int    // number of the first user, so that the users of one history differ
	History     *History
	RunTime     time.Duration // that they give as their estimate
	Profile     JobProfile
}

const (
	// callBudget bounds the tries of one query at one controller; then another is tried.
	callBudget = 1500 * time.Millisecond
	// submitBudget is the same for a submission: long enough to try again once when told to.
	submitBudget = 35 * time.Second
	// queryPause is the pause between two queries of a job.
	queryPause = time.Second
	// resubmitPause is the pause before a submission goes to another controller.
	resubmitPause = queryPause / 4
	// checkpointInterval and checkpointTime are what users say of tasks that save.
	checkpointInterval = time.Second
	checkpointTime     = 100 * time.Millisecond
	// firstRef begins the numbers of the users' jobs.
	firstRef = 100_000
)

// Run submits and queries until ctx ends, and then queries until all jobs are over or the grace time has passed. It
// returns when no user is left.
func (u *Users) Run(ctx context.Context, grace time.Duration) {
	var users sync.WaitGroup
	for i := range u.OpenJobs {
		users.Go(func() { u.runUser(ctx, i, grace) })
	}
	users.Wait()
}

// runUser is one user, whose jobs follow each other.
func (u *Users) runUser(ctx context.Context, user int, grace time.Duration) {
	querying, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { time.AfterFunc(grace, stop) })
	for n := 0; ctx.Err() == nil; n++ {
		ref := fmt.Sprintf("j-%d%06d", firstRef+u.First+user, n)
		if u.submit(querying, ref, 1+rand.IntN(u.MaxTasks)) {
			u.pollUntilEnd(querying, ref)
		}
	}
}

// anyController is a client of a controller chosen at random.
func (u *Users) anyController(budget time.Duration) *client.Client {
	return &client.Client{Addr: u.Controllers[rand.IntN(len(u.Controllers))], Budget: budget}
}

// submit submits a job until it is accepted; false if it is refused or ctx ends before.
func (u *Users) submit(ctx context.Context, ref string, tasks int) bool {
	u.History.submitted(ref, u.Team, tasks, u.Profile)
	job := u.submission(ref, tasks)
	for ctx.Err() == nil {
		_, err := u.anyController(submitBudget).Submit(ctx, job)
		switch {
		case err == nil:
			u.History.accepted(ref)
			return true
		case errors.Is(err, client.ErrRefused):
			u.History.forgotten(ref)
			return false
		}
		wait.Sleep(ctx, resubmitPause)
	}
	return false
}

// submission is a job array in JSON, in the protocol's words.
func (u *Users) submission(ref string, tasks int) []byte {
	interval, save := 0.0, 0.0
	if u.Profile.Saves {
		interval, save = checkpointInterval.Seconds(), checkpointTime.Seconds()
	}
	return fmt.Appendf(nil, `{"ref":%q,"lot_kind":%q,"owner":%q,"shape":"sweep","urgency":%q,"lots":%d,
		"vcpus":2,"cards":0,"mem_gb":4,"kit":"i","pull_gb":0.1,"one_zone":false,"apart":false,"loaners":false,
		"guess_s":%g,"mark_s":%g,"stash_s":%g}`,
		ref, u.Class, u.Team, u.Urgency, tasks, u.RunTime.Seconds(), interval, save)
}

// pollUntilEnd queries a job until it is over.
func (u *Users) pollUntilEnd(ctx context.Context, ref string) {
	for ctx.Err() == nil {
		run, err := u.anyController(callBudget).Get(ctx, ref)
		switch {
		case errors.Is(err, client.ErrNotFound):
			u.History.forgotten(ref)
			return
		case err == nil:
			u.History.told(ref, run.Status)
			if run.Over() {
				return
			}
		}
		wait.Sleep(ctx, queryPause)
	}
}
