package drain

// Preview says what a plan would do if it were created now.
type Preview struct {
	Machines    int              `json:"machines"`
	Stages      int              `json:"stages"`
	Interrupted []PreviewScope   `json:"interrupted,omitempty"` // upper bounds: tasks may finish before
	Listed      []PreviewMachine `json:"listed,omitempty"`      // the first of the machines
}

// PreviewScope says how many tasks of a scope's jobs would be interrupted.
type PreviewScope struct {
	Scope
	Tasks int `json:"tasks"`
}

// PreviewMachine is a machine of a plan, the stage in which it would be drained, and what runs on it.
type PreviewMachine struct {
	Name    string        `json:"name"`
	Stage   int           `json:"stage"`
	Blocked string        `json:"blocked,omitempty"` // why it couldn't be cordoned now
	Work    []PreviewWork `json:"work,omitempty"`
}

// PreviewWork is one task, or a whole gang, that would be interrupted.
type PreviewWork struct {
	Scope
	Job     string `json:"job"`
	Tasks   int    `json:"tasks"`
	Verdict string `json:"verdict,omitempty"` // why it can't be evicted now; empty: it can
}
