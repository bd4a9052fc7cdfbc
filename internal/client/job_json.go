package client

import (
	"bytes"
	"encoding/json"
	"errors"
)

// decodeJob decodes a job that is described in JSON. Integers become int64 rather than float64, since
// the protocol distinguishes them from other numbers.
func decodeJob(text []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	if decoder.More() {
		return nil, errors.New("more than one JSON value")
	}
	convertNumbers(fields)
	return fields, nil
}

// convertNumbers replaces every json.Number in a value, at any depth, by the result of
// convertNumber, and returns the value. It changes maps and slices in place.
func convertNumbers(value any) any {
	switch value := value.(type) {
	case json.Number:
		return convertNumber(value)
	case map[string]any:
		for key := range value {
			value[key] = convertNumbers(value[key])
		}
	case []any:
		for i := range value {
			value[i] = convertNumbers(value[i])
		}
	}
	return value
}

// convertNumber returns a number as an int64 or, if it isn't an integer of that size, as a float64.
func convertNumber(number json.Number) any {
	if integer, err := number.Int64(); err == nil {
		return integer
	}
	float, err := number.Float64()
	if err != nil {
		return number.String() // out of range: sent as text, for the controller to refuse
	}
	return float
}
