// Package codec encodes and decodes CBOR (RFC 8949), the form of stored records and of the messages of
// the outside interfaces.
//
// Structs are encoded field by field in the order of their declaration. Maps aren't sorted: the same map
// may have different bytes each time. Fields that a decoded struct doesn't have are ignored: they are
// those of a later version. The functions are safe for concurrent use.
package codec

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed says that bytes can't be decoded as the value that is wanted.
var ErrMalformed = errors.New("malformed message")

// Bounds of a decoded value. Lists from the cloud and the state service are long; bodies from users and
// workers are bounded by their size before they are decoded.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
)

var (
	encMode = mustEncMode(cbor.EncOptions{Sort: cbor.SortNone})
	decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs})
	// jsonMode decodes maps to the type that package json can encode.
	jsonMode = mustDecMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements, DefaultMapType: reflect.TypeFor[map[string]any](),
	})
)

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("options of the encoder: %v", err))
	}
	return mode
}

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(fmt.Sprintf("options of the decoder: %v", err))
	}
	return mode
}

// RawMessage is an encoded value that is passed on as it is.
type RawMessage = cbor.RawMessage

// Marshal returns the encoded form of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MustMarshal returns the encoded form of v, whose type must be one that can always be encoded; it
// panics otherwise.
func MustMarshal(v any) []byte {
	encoded, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return encoded
}

// Unmarshal decodes exactly one value into the variable to which v points. Its error wraps
// ErrMalformed.
func Unmarshal(encoded []byte, v any) error {
	if err := decMode.Unmarshal(encoded, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// majorTypeMap is the major type of maps, which the upper three bits of a value's first byte hold.
const (
	majorTypeMap   = 5
	majorTypeShift = 5
)

// IsMap returns whether an encoded value is a map. Unmarshal alone doesn't show that: it also decodes
// null into a struct, and leaves that as it was.
func IsMap(encoded []byte) bool {
	return len(encoded) > 0 && encoded[0]>>majorTypeShift == majorTypeMap
}

// JSONSize returns the length of an encoded value's JSON form, in which the protocol's limits are
// counted. Its error wraps ErrMalformed if the value can't be decoded.
func JSONSize(encoded []byte) (int, error) {
	var value any
	if err := jsonMode.Unmarshal(encoded, &value); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode as JSON: %w", err)
	}
	return len(text), nil
}
