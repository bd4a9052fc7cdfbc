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

// Users emulates users who keep a number of jobs open: each user submits a job, queries it until it is
// over, and then submits the next (PROTOCOL: Users -> controller nodes). The fields are set before Run.
type Users struct {
	Controllers []string // addresses
	OpenJobs    int      // number of jobs kept open, which is the number of users
	MaxTasks    int      // the most tasks of a job; each job has a random number of them
	Team        string
	Class       string
	Urgency     string // as on the wire
	FirstNumber int    // number of the first user; numbers must not overlap among users of one history
	History     *History
	RunTime     time.Duration // the estimate that users submit, not how long tasks run
	Profile     JobProfile
}

const (
	// callBudget limits the time for a query's tries at one controller. The next query goes to a
	// controller chosen anew.
	callBudget = 1500 * time.Millisecond
	// submitBudget is the same for a submission. It is longer than the longest pause that a controller
	// may ask for before another try (30 s), so that there is time for that try.
	submitBudget = 35 * time.Second
	// queryPause is the pause between two queries of a job.
	queryPause = time.Second
	// resubmitPause is the pause before a submission goes to a controller chosen anew.
	resubmitPause = queryPause / 4
	// checkpointInterval and checkpointTime are submitted for jobs whose tasks save their progress.
	checkpointInterval = time.Second
	checkpointTime     = 100 * time.Millisecond
	// firstRef is the number of user 0 in the references of its jobs.
	firstRef = 100_000
)

// Run runs the users: they submit and query jobs until ctx ends, and then only query until all jobs are
// over or the time grace has passed. A submission that has begun goes on in that time too. Run returns
// when all users have ended.
func (u *Users) Run(ctx context.Context, grace time.Duration) {
	var users sync.WaitGroup
	for i := range u.OpenJobs {
		users.Go(func() { u.runUser(ctx, i, grace) })
	}
	users.Wait()
}

// runUser runs one user, who submits one job after the other.
func (u *Users) runUser(ctx context.Context, user int, grace time.Duration) {
	querying, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() { time.AfterFunc(grace, stop) })
	for n := 0; ctx.Err() == nil; n++ {
		ref := fmt.Sprintf("j-%d%06d", firstRef+u.FirstNumber+user, n)
		if u.submit(querying, ref, 1+rand.IntN(u.MaxTasks)) {
			u.pollUntilEnd(querying, ref)
		}
	}
}

// randomClient returns a client of a controller chosen at random.
func (u *Users) randomClient(budget time.Duration) *client.Client {
	return &client.Client{Addr: u.Controllers[rand.IntN(len(u.Controllers))], RetryBudget: budget}
}

// submit submits a job, again and again until it is accepted. It returns false if the job is refused or
// ctx ends before.
func (u *Users) submit(ctx context.Context, ref string, tasks int) bool {
	u.History.jobSubmitted(ref, u.Team, tasks, u.Profile)
	job := u.submission(ref, tasks)
	for ctx.Err() == nil {
		_, err := u.randomClient(submitBudget).Submit(ctx, job)
		switch {
		case err == nil:
			u.History.jobAccepted(ref)
			return true
		case errors.Is(err, client.ErrRefused):
			u.History.jobLost(ref)
			return false
		}
		wait.Sleep(ctx, resubmitPause)
	}
	return false
}

// submission returns the submission of a job array in JSON, with the names used on the wire.
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

// pollUntilEnd queries a job until it is over or unknown, or ctx ends.
func (u *Users) pollUntilEnd(ctx context.Context, ref string) {
	for ctx.Err() == nil {
		status, err := u.randomClient(callBudget).Get(ctx, ref)
		switch {
		case errors.Is(err, client.ErrNotFound):
			u.History.jobLost(ref)
			return
		case err == nil:
			u.History.statusReceived(ref, status.Status)
			if status.Over() {
				return
			}
		}
		wait.Sleep(ctx, queryPause)
	}
}
