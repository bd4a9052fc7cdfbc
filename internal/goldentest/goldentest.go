// Package goldentest compares what tests produce with golden files: with what an earlier version
// of the program produced. Golden files hold forms that must not change, such as stored values and
// messages; they are written anew by running a package's tests with -update.
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

var update = flag.Bool("update", false, "write the golden files anew")

// Updating tells whether golden files are being written anew.
func Updating() bool { return *update }

// Lines collects the lines of a golden file.
type Lines struct{ text strings.Builder }

// Add adds a line.
func (l *Lines) Add(format string, args ...any) {
	fmt.Fprintf(&l.text, format, args...)
	l.text.WriteByte('\n')
}

// Check compares the lines with a golden file in the package's testdata.
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
	compare(t, path, string(content), got)
}

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// compare reports each line that differs.
func compare(t *testing.T, path, want, got string) {
	t.Helper()
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if w, g := lineAt(wantLines, i), lineAt(gotLines, i); w != g {
			t.Errorf("%s:%d:\n%q, the golden file has\n%q", path, i+1, g, w)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
