package codec

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// record is a value as they are stored.
type record struct {
	Name string            `cbor:"n"`
	Sum  []byte            `cbor:"s,omitempty"`
	More map[string]uint64 `cbor:"m"`
	Raw  RawMessage        `cbor:"r"`
}

// A struct is the same after it was encoded and decoded, and encoding it again gives the same bytes: a
// record that changes by being read would lose what is stored.
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

// A field that only a later version has is ignored, so that versions can run side by side during an
// upgrade.
func TestUnknownFieldIsIgnored(t *testing.T) {
	var got record
	if err := Unmarshal(MustMarshal(map[string]any{"n": "j-1", "later": []int{1}}), &got); err != nil || got.Name != "j-1" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Bytes that aren't exactly one value of the wanted type are malformed: a record that is cut off, or
// followed by another, would be taken for whole.
func TestMalformed(t *testing.T) {
	whole := MustMarshal(record{Name: "j-1"})
	for name, encoded := range map[string][]byte{
		"nothing":       nil,
		"cut off":       whole[:len(whole)-1],
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

// Only maps count as maps: null decodes into any struct, and an empty message would be taken for one
// in which nothing is set.
func TestIsMap(t *testing.T) {
	for _, c := range []struct {
		value any
		want  bool
	}{{record{}, true}, {map[string]int{}, true}, {nil, false}, {[]int{1}, false}, {"text", false}, {7, false}} {
		if got := IsMap(MustMarshal(c.value)); got != c.want {
			t.Errorf("%#v: %v", c.value, got)
		}
	}
	if IsMap(nil) {
		t.Error("nothing counts as a map")
	}
}

// The size in JSON is that of the value's JSON text, with bytes in base64 and escapes: a value whose
// size is underestimated is rejected by the state service.
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

// A value of a type that can't be encoded is a mistake in the program, which must not be stored as
// nothing.
func TestMustMarshalPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic for a function")
		}
	}()
	MustMarshal(func() {})
}
