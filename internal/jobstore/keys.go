package jobstore

import (
	"fmt"
	"strings"
)

// Prefixes of keys (docs/design.md, "Records").
const (
	JobPrefix        = "j/" // records of unfinished jobs, by reference
	finalPrefix      = "f/" // final entries of jobs that are over, by reference
	chunkPrefix      = "d/" // done ranges that a job's record has no room for, by reference and chunk
	dependencyPrefix = "a/" // pages of dependencies that a job's record has no room for (dependencyKey)
	startLogPrefix   = "s/" // pages of the start log
	imagePrefix      = "i/" // pages of the image log
	machinePrefix    = "m/" // records of machines, which earlier versions wrote instead of the start log
)

// Prefixes of the keys of drains.
const (
	DrainPlanPrefix = "drain/plan/"   // plans, by ID
	cordonPrefix    = "drain/cordon/" // pages of cordoned machines
	chargePrefix    = "drain/charge/" // pages of charges to disruption budgets
)

// startLogKey returns the key of a page of the start log. A machine record of an earlier version
// counts as a page whose name is the whole key (see decodeMachineRecord).
func startLogKey(name string) string {
	if strings.HasPrefix(name, machinePrefix) {
		return name
	}
	return startLogPrefix + name
}

// chunkKey returns the key of one chunk of a job's done ranges.
func chunkKey(ref string, chunk int) string {
	return fmt.Sprintf("%s%s/%05d", chunkPrefix, ref, chunk)
}

// dependencyPagesPrefix returns the common prefix of the keys of the pages of one list of
// dependencies. The hash distinguishes the list from those of other submissions of the same job.
func dependencyPagesPrefix(ref, hash string) string {
	return dependencyPrefix + ref + "/" + hash + "-"
}

// dependencyKey returns the key of one page of a list of dependencies; the first page is 0.
func dependencyKey(ref, hash string, page int) string {
	return fmt.Sprintf("%s%05d", dependencyPagesPrefix(ref, hash), page)
}
