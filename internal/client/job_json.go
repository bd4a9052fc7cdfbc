package client

import (
	"bytes"
	"encoding/json"
	"errors"
)

// decodeJob reads a job's description in JSON. Whole numbers stay whole, since the protocol tells them
// from others.
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

// convertNumbers replaces the numbers in a value, at any depth, by integers or floats.
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

func convertNumber(number json.Number) any {
	if integer, err := number.Int64(); err == nil {
		return integer
	}
	float, err := number.Float64()
	if err != nil {
		return number.String() // out of range: the controller says what is wrong
	}
	return float
}
