package drain

import "strings"

// Preview is what a plan would do as things are now.
type Preview struct {
	Machines    int              `json:"machines"`
	Stages      int              `json:"stages"`
	Interrupted []PreviewScope   `json:"interrupted,omitempty"` // if nothing finished by itself
	Listed      []PreviewMachine `json:"listed,omitempty"`      // the first of them
}

// PreviewScope is how many tasks of a team's jobs of a class run on the machines.
type PreviewScope struct {
	Scope
	Tasks int `json:"tasks"`
}

// PreviewMachine is a machine of a plan, the stage in which it would be drained, and what runs
// there.
type PreviewMachine struct {
	Name    string        `json:"name"`
	Stage   int           `json:"stage"`
	Blocked string        `json:"blocked,omitempty"` // why it couldn't be begun with now
	Work    []PreviewWork `json:"work,omitempty"`
}

// PreviewWork is what would be interrupted together.
type PreviewWork struct {
	Scope
	Job     string `json:"job"`
	Tasks   int    `json:"tasks"`
	Verdict string `json:"verdict,omitempty"` // why not now; empty: it could be at once
}

// Compare orders scopes by team and class.
func (s Scope) Compare(o Scope) int { return strings.Compare(s.String(), o.String()) }
