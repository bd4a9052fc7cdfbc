// Package goldentest compares the output of tests with golden files, which hold the output of an
// earlier version of the program. They guard formats that must not change by accident, such as stored
// values, messages and names that operators see.
//
// A golden file is in the testdata directory of the package whose test checks it, and is written by
// running that test with -update. Only tests import this package.
package goldentest

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write golden files instead of comparing with them")

// Lines collects the lines that are compared with a golden file. The zero value is empty.
type Lines struct{ text strings.Builder }

// Add adds a line, formatted as by fmt.Sprintf.
func (l *Lines) Add(format string, args ...any) {
	fmt.Fprintf(&l.text, format, args...)
	l.text.WriteByte('\n')
}

// Check compares the lines with the golden file of the given name in the package's testdata directory,
// and fails the test for each line that differs. With -update, it writes the file instead.
func (l *Lines) Check(t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	got := l.text.String()
	if *update {
		write(t, path, got)
		return
	}
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("there is no %s; run the test with -update", path)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, difference := range differences(string(content), got) {
		t.Errorf("%s:%s", path, difference)
	}
}

// write writes a golden file and creates its directory if necessary.
func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// differences describes each line that differs; a description begins with the line's number.
func differences(want, got string) []string {
	var found []string
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if wantLine, gotLine := lineAt(wantLines, i), lineAt(gotLines, i); wantLine != gotLine {
			found = append(found, fmt.Sprintf("%d:\n%q, the golden file has\n%q", i+1, gotLine, wantLine))
		}
	}
	if found == nil && want != got {
		found = append(found, "the number of empty lines at the end differs")
	}
	return found
}

// lineAt returns the i-th line, or an empty one if there are fewer lines.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
