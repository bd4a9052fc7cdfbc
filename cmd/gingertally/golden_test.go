package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"gingertally/internal/goldentest"
)

// The names of commands, arguments and flags.
func TestCommandLineGolden(t *testing.T) {
	var commands cli
	parser, err := kong.New(&commands, kong.Name("gingertally"))
	if err != nil {
		t.Fatal(err)
	}
	var lines goldentest.Lines
	addCommand(&lines, parser.Model.Node)
	lines.Check(t, "command_line.txt")
}

func addCommand(lines *goldentest.Lines, node *kong.Node) {
	lines.Add("%s", node.FullPath())
	for _, argument := range node.Positional {
		lines.Add("  %s required=%v", argument.Summary(), argument.Required)
	}
	for _, flag := range node.Flags {
		lines.Add(
			"  --%s required=%v default=%q env=%s", flag.Name, flag.Required, flag.Default,
			strings.Join(flag.Envs, ","),
		)
	}
	for _, child := range node.Children {
		addCommand(lines, child)
	}
}
