package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"gingertally/internal/goldentest"
)

// Guards against renamed commands, arguments, flags and environment variables, and against changed
// defaults: scripts and deployments rely on them.
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

// addCommand adds the lines of a command and of its subcommands.
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
