package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// lineAt is the line of an offset in a text, counted from 1.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// fieldLines finds the lines on which the fields of a JSON text are set, by path, such as
// settings.teams[0].name. The text is known to be valid JSON.
func fieldLines(text []byte) map[string]int {
	walker := fieldWalker{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, lines: map[string]int{}}
	walker.value("")
	return walker.lines
}

type fieldWalker struct {
	decoder *json.Decoder
	text    []byte
	lines   map[string]int
}

// value walks over one value. It stops at an error, which a valid text doesn't have.
func (w *fieldWalker) value(path string) {
	token, err := w.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		w.object(path)
	case json.Delim('['):
		w.list(path)
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
		w.note(field)
		w.value(field)
	}
	_, _ = w.decoder.Token() // the object's end
}

func (w *fieldWalker) list(path string) {
	for i := 0; w.decoder.More(); i++ {
		element := fmt.Sprintf("%s[%d]", path, i)
		w.value(element)
	}
	_, _ = w.decoder.Token() // the list's end
}

// note remembers the line of the name that was just read.
func (w *fieldWalker) note(field string) {
	w.lines[field] = lineAt(w.text, w.decoder.InputOffset())
}
