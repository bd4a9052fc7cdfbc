package core

import "time"

// replacements are the machines that are requested ahead of ones that are being drained, by the
// name of the machine that is replaced.
type replacements map[string]*replacement

// replacement is one of them.
type replacement struct {
	request   string // name of the request
	machine   string // empty until the cloud has answered
	requested time.Time
}

// of returns the replacement of a machine, or nil.
func (r replacements) of(replaced string) *replacement { return r[replaced] }

// request notes that a replacement is requested for a machine.
func (r replacements) request(now time.Time, replaced, request string) {
	r[replaced] = &replacement{request: request, requested: now}
}

// forget gives a machine's replacement up, or keeps it as any other machine.
func (r replacements) forget(replaced string) { delete(r, replaced) }

// answered takes in the cloud's answer to a request, which may be one for a replacement.
func (r replacements) answered(a ScaleOutAnswered) {
	for replaced, by := range r {
		if by.request != a.Request.Name {
			continue
		}
		if len(a.Machines) == 0 {
			r.forget(replaced)
			return
		}
		by.machine = a.Machines[0]
	}
}

// include reports whether a machine was requested in place of one that is still there.
func (r replacements) include(machine string) bool {
	for _, by := range r {
		if by.machine == machine {
			return true
		}
	}
	return false
}
