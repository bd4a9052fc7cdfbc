// Package goldentest compares what tests produce with golden files, which hold what an earlier version
// of the program produced. They are for forms that must not change by accident, such as stored values,
// messages and names that operators see.
//
// A golden file stands in the testdata of the package whose test checks it, and is written by running
// that test with -update. Only tests import this package.
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

// Lines collects the lines of a golden file. The zero Lines has none.
type Lines struct{ text strings.Builder }

// Add adds a line, formatted like by fmt.Sprintf.
func (l *Lines) Add(format string, args ...any) {
	fmt.Fprintf(&l.text, format, args...)
	l.text.WriteByte('\n')
}

// Check compares the lines with a golden file, which is named relative to the package's testdata, and
// fails the test if they differ.
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

// write writes a golden file and the directories to it.
func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// differences returns the lines that differ, each after its number.
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

// lineAt returns a line; empty if there are fewer.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
