// Package pagecheck contains only tests. They check the pages in docs against the code: names,
// paths and tests on a page must exist, and the operators' page must have every log line.
package pagecheck
