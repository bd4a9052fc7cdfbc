package goldentest

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// Every line that differs is found, as is a line that is missing or added. Otherwise a change of a
// stored format would pass the golden tests and reach production.
func TestDifferences(t *testing.T) {
	for _, c := range []struct {
		name      string
		want, got string
		lines     []string // numbers of the lines that differ
	}{
		{"the same", "a\nb\n", "a\nb\n", nil},
		{"a line differs", "a\nb\n", "a\nc\n", []string{"2:"}},
		{"a line is missing", "a\nb\n", "a\n", []string{"2:"}},
		{"a line is added", "a\n", "a\nb\n", []string{"2:"}},
		{"a line is added in front", "a\n", "b\na\n", []string{"1:", "2:"}},
		{"empty against a line", "", "a\n", []string{"1:"}},
		{"an empty line is added", "a\n", "a\n\n", []string{"the number"}},
	} {
		found := differences(c.want, c.got)
		if len(found) != len(c.lines) {
			t.Errorf("%s: %q", c.name, found)
			continue
		}
		for i, line := range c.lines {
			if !strings.HasPrefix(found[i], line) {
				t.Errorf("%s: %q, want line %s", c.name, found[i], line)
			}
		}
	}
}

// Filled sets every exported field, fields of the same type differently, and always in the same way. If
// a field stayed empty, it could disappear from its type's encoded form without a test noticing.
func TestFilledSetsEveryField(t *testing.T) {
	type inner struct {
		Text string
		At   time.Time
	}
	type outer struct {
		Flag     bool
		Signed   int16
		Unsigned uint8
		Float    float64
		Bytes    []byte
		List     []inner
		Array    [2]int
		Map      map[string]inner
		Pointer  *inner
		hidden   int
	}
	value := Filled[outer]()
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() && v.Field(i).IsZero() {
			t.Errorf("field %s isn't set", field.Name)
		}
	}
	if value.hidden != 0 {
		t.Error("an unexported field is set")
	}
	if value.Array[0] == value.Array[1] || value.List[0] == *value.Pointer {
		t.Errorf("two fields have the same value: %+v", value)
	}
	if again := Filled[outer](); !reflect.DeepEqual(again, value) {
		t.Errorf("first call: %+v, second call: %+v", value, again)
	}
}
