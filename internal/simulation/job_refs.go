package simulation

import "fmt"

// jobRefs is a range of job ids. Each generator of jobs in a world has a range of its own, so
// that no two jobs of a world can have the same id, whichever generators it combines.
type jobRefs int

// First numbers of the ranges; each has room for 100,000 jobs, that of ordinary users for 200,000.
const (
	userJobRefs       jobRefs = 0
	drainJobRefs      jobRefs = 200_000
	floodJobRefs      jobRefs = 300_000
	shortLeaseJobRefs jobRefs = 600_000
	scriptJobRefs     jobRefs = 700_000
	probeJobRefs      jobRefs = 800_000
	pipelineJobRefs   jobRefs = 900_000
)

// unsubmittedRef is the id of a job that nobody submits.
const unsubmittedRef = "j-999999"

// ref is the id of one job of the range.
func (r jobRefs) ref(number int) string { return fmt.Sprintf("j-%06d", int(r)+number) }
