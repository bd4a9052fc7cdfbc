// Package codec encodes and decodes CBOR (RFC 8949), the encoding of stored records and of messages
// to and from users, workers, the cloud and the state service.
//
// Struct fields are encoded in the order of their declaration. Map keys aren't sorted, so encoding the
// same map twice may give different bytes. When a struct is decoded, unknown fields are ignored: they
// come from a later version. All functions are safe for concurrent use.
package codec

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports input that can't be decoded into the requested type.
var ErrMalformed = errors.New("malformed message")

// Limits of a decoded value. They leave room for the long lists that the cloud and the state service
// return; the size of messages from users and workers is limited before they are decoded.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
)

var (
	encMode = mustEncMode(cbor.EncOptions{Sort: cbor.SortNone})
	decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs})
	// jsonMode decodes maps into map[string]any, which encoding/json can encode.
	jsonMode = mustDecMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements, DefaultMapType: reflect.TypeFor[map[string]any](),
	})
)

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR encoder options: %v", err))
	}
	return mode
}

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR decoder options: %v", err))
	}
	return mode
}

// RawMessage is an encoded value that is passed on without being decoded or encoded again.
type RawMessage = cbor.RawMessage

// Marshal returns the encoded form of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MustMarshal returns the encoded form of v. It panics if v can't be encoded, so it is only for types
// that always can.
func MustMarshal(v any) []byte {
	encoded, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return encoded
}

// Unmarshal decodes input that consists of exactly one value, and stores the value in what v points
// to. Its errors wrap ErrMalformed.
func Unmarshal(encoded []byte, v any) error {
	if err := decMode.Unmarshal(encoded, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// The three most significant bits of a value's first byte hold its CBOR major type; majorTypeMap is
// that of maps.
const (
	majorTypeMap   = 5
	majorTypeShift = 5
)

// IsMap reports whether an encoded value is a map. Unmarshal can't be used to check this: it accepts
// null for a struct, too, and leaves the struct unchanged.
func IsMap(encoded []byte) bool {
	return len(encoded) > 0 && encoded[0]>>majorTypeShift == majorTypeMap
}

// JSONSize returns the size in bytes that an encoded value has as JSON. The protocol's size limits
// apply to the JSON form. The error wraps ErrMalformed if the value can't be decoded.
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
