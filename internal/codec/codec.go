// Package codec encodes and decodes CBOR, the form of all stored records and of the messages of the
// outside interfaces.
package codec

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed says that a record or message isn't what it has to be.
var ErrMalformed = errors.New("malformed message")

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	// Generous bounds for lists from the cloud and the store; bodies from users
	// and workers are bounded by their size long before.
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// RawMessage is a value that isn't decoded.
type RawMessage = cbor.RawMessage

// Marshal encodes v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MustMarshal encodes a value built only of types that always encode.
func MustMarshal(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// Unmarshal decodes exactly one value from b.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// IsMap tells whether b starts a CBOR map (major type 5): a decoder alone would
// also take null for an empty struct.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// JSONSize is what an encoded value takes in the JSON form that the protocol's
// limits are counted in.
func JSONSize(b []byte) (int, error) {
	var v any
	if err := jsonMode.Unmarshal(b, &v); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	j, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("as JSON: %w", err)
	}
	return len(j), nil
}

// jsonMode decodes maps as JSON has them.
var jsonMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()
