package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Layout of tables. tabwriter.NewWriter requires tabWidth, but it has no effect, since cells are
// padded with spaces.
const (
	tabWidth      = 4
	columnPadding = 2 // spaces between columns
)

// printTable prints a text whose cells are separated by tabs, with its columns aligned.
func printTable(out io.Writer, text string) error {
	table := tabwriter.NewWriter(out, 0, tabWidth, columnPadding, ' ', 0)
	if _, err := io.WriteString(table, text); err != nil {
		return err
	}
	return table.Flush()
}

// printJSON prints a message as one line of JSON.
func printJSON(out io.Writer, message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}
