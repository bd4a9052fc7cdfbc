package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// lineAt returns the line number of an offset in a text, counted from 1.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// fieldLines returns the line number of each field in a JSON text, by path, such as
// settings.teams[0].name. If a field is set more than once, the line is that of its last occurrence, whose
// value the decoder keeps. The text must be valid JSON.
func fieldLines(text []byte) map[string]int {
	walker := fieldWalker{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, lines: map[string]int{}}
	walker.value("")
	return walker.lines
}

// fieldWalker walks over a JSON text and records the line of each field.
type fieldWalker struct {
	decoder *json.Decoder
	text    []byte
	lines   map[string]int
}

// value reads one value, and records the lines of the fields in it. It ignores errors, as object and array
// do, because the text is valid JSON.
func (w *fieldWalker) value(path string) {
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		w.object(path)
	case json.Delim('['):
		w.array(path)
	}
}

func (w *fieldWalker) object(path string) {
	for w.decoder.More() {
		name, err := w.decoder.Token()
		if err != nil {
			return
		}
		field := fmt.Sprint(name)
		if path != "" {
			field = path + "." + field
		}
		w.recordLine(field)
		w.value(field)
	}
	_, _ = w.decoder.Token() // closing brace
}

func (w *fieldWalker) array(path string) {
	for i := 0; w.decoder.More(); i++ {
		element := fmt.Sprintf("%s[%d]", path, i)
		w.value(element)
	}
	_, _ = w.decoder.Token() // closing bracket
}

// recordLine records the line of the field whose name was just read.
func (w *fieldWalker) recordLine(field string) {
	w.lines[field] = lineAt(w.text, w.decoder.InputOffset())
}
