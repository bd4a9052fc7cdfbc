// Package pagecheck has only tests: they hold the pages in docs against the code, so that a name
// that a reader finds there can be found here too.
package pagecheck
