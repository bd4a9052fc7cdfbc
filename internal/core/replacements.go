package core

import "time"

// replacements holds the machines that were requested to replace ones that are being drained, by
// the name of the machine that is replaced.
type replacements map[string]*replacement

// replacement is a machine that was requested to replace another.
type replacement struct {
	request   string // name of the request
	machine   string // empty until the cloud has answered
	requested time.Time
}

// of returns the replacement of a machine, or nil.
func (r replacements) of(replaced string) *replacement { return r[replaced] }

// request records that a replacement for a machine has been requested.
func (r replacements) request(now time.Time, replaced, request string) {
	r[replaced] = &replacement{request: request, requested: now}
}

// forget removes a machine's replacement, which is given up or kept like any other machine.
func (r replacements) forget(replaced string) { delete(r, replaced) }

// answered applies the cloud's answer to a request, which may be for a replacement.
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

// include reports whether a machine was requested to replace one that still exists.
func (r replacements) include(machine string) bool {
	for _, by := range r {
		if by.machine == machine {
			return true
		}
	}
	return false
}
