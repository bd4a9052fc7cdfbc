package jobstore

import (
	"fmt"
	"strings"
)

// Prefixes of keys (docs/design.md, "Records").
const (
	JobPrefix        = "j/" // unfinished jobs
	finalPrefix      = "f/" // how jobs ended
	chunkPrefix      = "d/" // further done ranges
	dependencyPrefix = "a/" // pages of long lists of the jobs that a job waits for
	pagePrefix       = "s/" // pages of the start log
	imagePrefix      = "i/" // pages of the image log
	machinePrefix    = "m/" // records by machine, which earlier versions kept instead of the start log
)

// startLogKey is the key of a page of the start log. Old records by machine are pages
// whose name is their key.
func startLogKey(name string) string {
	if strings.HasPrefix(name, machinePrefix) {
		return name
	}
	return pagePrefix + name
}

// chunkKey is the key of one chunk of a job's done ranges.
func chunkKey(ref string, chunk int) string {
	return fmt.Sprintf("%s%s/%05d", chunkPrefix, ref, chunk)
}

// dependencyPages is the prefix of all pages of one list of dependencies, which its
// sum names.
func dependencyPages(ref, sum string) string {
	return dependencyPrefix + ref + "/" + sum + "-"
}

// dependencyKey is the key of one page of such a list.
func dependencyKey(ref, sum string, page int) string {
	return fmt.Sprintf("%s%05d", dependencyPages(ref, sum), page)
}
