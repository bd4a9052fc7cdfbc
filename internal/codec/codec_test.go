package codec

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// record stands for a stored record.
type record struct {
	Name string            `cbor:"n"`
	Sum  []byte            `cbor:"s,omitempty"`
	More map[string]uint64 `cbor:"m"`
	Raw  RawMessage        `cbor:"r"`
}

// A struct is unchanged after being encoded and decoded, and encoding it again gives the same bytes.
// Otherwise, reading a record and writing it back would lose stored data.
func TestRoundTrip(t *testing.T) {
	want := record{Name: "j-1", Sum: []byte{0xff}, More: map[string]uint64{"a": 1}, Raw: MustMarshal(7)}
	encoded := MustMarshal(want)
	var got record
	if err := Unmarshal(encoded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	if again := MustMarshal(got); !bytes.Equal(again, encoded) {
		t.Errorf("%x, and encoded again %x", encoded, again)
	}
}

// A field that only a later version has is ignored. Otherwise, two versions couldn't run side by side
// during an upgrade.
func TestUnknownFieldIsIgnored(t *testing.T) {
	var got record
	if err := Unmarshal(MustMarshal(map[string]any{"n": "j-1", "later": []int{1}}), &got); err != nil || got.Name != "j-1" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Input that isn't exactly one value of the requested type is malformed. Otherwise, a record that is
// truncated, or followed by another one, would be accepted.
func TestMalformed(t *testing.T) {
	whole := MustMarshal(record{Name: "j-1"})
	for name, encoded := range map[string][]byte{
		"empty input":   nil,
		"truncated":     whole[:len(whole)-1],
		"two values":    append(bytes.Clone(whole), whole...),
		"another type":  MustMarshal([]int{1}),
		"field's type":  MustMarshal(map[string]any{"n": 1}),
		"invalid UTF-8": MustMarshal(map[string]any{"n": "\xff"}),
		"invalid CBOR":  {0xff},
	} {
		if err := Unmarshal(encoded, &record{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := JSONSize([]byte{0xff}); !errors.Is(err, ErrMalformed) {
		t.Errorf("size of invalid CBOR: %v", err)
	}
}

// IsMap accepts maps only. It must reject null, which decodes into any struct and would be accepted as
// a message without fields.
func TestIsMap(t *testing.T) {
	for _, c := range []struct {
		value any
		want  bool
	}{{record{}, true}, {map[string]int{}, true}, {nil, false}, {[]int{1}, false}, {"text", false}, {7, false}} {
		if got := IsMap(MustMarshal(c.value)); got != c.want {
			t.Errorf("IsMap of %#v: %v", c.value, got)
		}
	}
	if IsMap(nil) {
		t.Error("empty input counts as a map")
	}
}

// JSONSize counts the JSON text with its escapes and with byte strings in base64. If it returned too
// little, values would be sent that the state service rejects as too large.
func TestJSONSize(t *testing.T) {
	for _, c := range []struct {
		value any
		text  string
	}{
		{map[string]any{"n": "j-1", "m": []int{1, 23}}, `{"m":[1,23],"n":"j-1"}`},
		{"a<b\"", `"a\u003cb\""`},
		{[]byte{1, 2, 3, 4}, `"AQIDBA=="`},
		{map[string]any{"in": map[string]any{"x": nil}}, `{"in":{"x":null}}`},
		{[]any{true, 1.5}, `[true,1.5]`},
	} {
		if size, err := JSONSize(MustMarshal(c.value)); err != nil || size != len(c.text) {
			t.Errorf("%#v: %d, want %d as in %s (%v)", c.value, size, len(c.text), c.text, err)
		}
	}
}

// MustMarshal panics for a type that can't be encoded. That is a programming error; without the panic,
// an empty value would be stored.
func TestMustMarshalPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic for a value of a function type")
		}
	}()
	MustMarshal(func() {})
}
