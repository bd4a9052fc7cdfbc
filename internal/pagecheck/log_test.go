package pagecheck

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// logPage is the page that must list the text of every log line at level info and above.
const logPage = "docs/operating.md"

// notLogged lists the directories whose code doesn't run in a controller, so that their log lines
// needn't be on the page.
var notLogged = []string{
	"internal/simulation", "internal/emulator", "internal/surge", "internal/goldentest", "internal/pagecheck",
	"tools",
}

// logLines returns the texts that controllers log at level info and above, each with where it is
// logged. They are the first arguments of calls of Info, Warn and Error, and the events that the
// core logs.
func logLines(t *testing.T) map[string]string {
	t.Helper()
	lines, events := map[string]string{}, map[string]string{}
	var logged []string
	forEachGoFile(t, func(path string, file *ast.File) {
		path = strings.TrimPrefix(filepath.ToSlash(path), "../../")
		if strings.HasSuffix(path, "_test.go") || isNotLogged(path) {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				addEvent(events, n)
			case *ast.CallExpr:
				if text, ok := loggedText(n); ok {
					lines[text] = path
				}
				if event, ok := loggedEvent(n); ok {
					logged = append(logged, event)
				}
			}
			return true
		})
	})
	for _, event := range logged {
		if events[event] == "" {
			t.Errorf("log event %s isn't a constant with a string literal", event)
		}
		lines[events[event]] = "internal/core"
	}
	return lines
}

// isNotLogged reports whether a file is in one of the directories notLogged.
func isNotLogged(path string) bool {
	for _, directory := range notLogged {
		if strings.HasPrefix(path, directory+"/") {
			return true
		}
	}
	return false
}

// addEvent adds the text of each constant in spec that is a log event to events.
func addEvent(events map[string]string, spec *ast.ValueSpec) {
	for i, name := range spec.Names {
		if !strings.HasPrefix(name.Name, "Log") || i >= len(spec.Values) {
			continue
		}
		if text, ok := literal(spec.Values[i]); ok {
			events[name.Name] = text
		}
	}
}

// loggedText returns the text of a call such as log.Info("text", …).
func loggedText(call *ast.CallExpr) (string, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	switch method.Sel.Name {
	case "Info", "Warn", "Error":
		return literal(call.Args[0])
	}
	return "", false
}

// loggedEvent returns the name of the event in a call such as e.log(LogEvent, …).
func loggedEvent(call *ast.CallExpr) (string, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "log" || len(call.Args) == 0 {
		return "", false
	}
	event, ok := call.Args[0].(*ast.Ident)
	return event.String(), ok && strings.HasPrefix(event.Name, "Log")
}

// literal returns the value of a string literal, and false for any other expression.
func literal(expression ast.Expr) (string, bool) {
	value, ok := expression.(*ast.BasicLit)
	if !ok || value.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(value.Value)
	return text, err == nil
}

// Every log line at level info and above is on the page, so that an on-call engineer who sees it in
// the log can look up what it means and what to do. A line that was added or reworded only in the
// code fails.
func TestEveryLogLineIsOnThePage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, logPage))
	if err != nil {
		t.Fatal(err)
	}
	lines := logLines(t)
	if len(lines) < 50 {
		t.Errorf("only %d log lines were found in the code; want at least 50", len(lines))
	}
	for line, path := range lines {
		if !strings.Contains(string(text), "`"+line+"`") {
			t.Errorf("%s: %q isn't on %s", path, line, logPage)
		}
	}
}
