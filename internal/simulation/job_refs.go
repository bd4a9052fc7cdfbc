package simulation

import "fmt"

// jobRefs is the first number of a range of job ids. Each generator of jobs in a world has its own
// range, so that no two jobs of a world have the same id, whichever generators are combined.
type jobRefs int

// Ranges of job ids. Each has room for at least 100,000 jobs, that of ordinary users for 200,000.
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

// ref returns the id of the job with a number within the range.
func (r jobRefs) ref(number int) string { return fmt.Sprintf("j-%06d", int(r)+number) }
