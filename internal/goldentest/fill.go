package goldentest

import (
	"fmt"
	"reflect"
	"time"
)

// Filled returns a value of type T in which every exported field is set, down to maxDepth, so that the
// encoded form shows the name and type of every field. Fields get different values where their type
// allows it. The result for a type is always the same.
func Filled[T any]() T {
	var value T
	var f filler
	f.fill(reflect.ValueOf(&value).Elem(), 0)
	return value
}

// maxDepth limits the depth to which values are filled, since a type may contain itself.
const maxDepth = 12

// fillTime is the time to which seconds are added for the times that values are filled with.
var fillTime = time.Unix(1_800_000_000, 0).UTC()

// cborSmallIntegers is the number of integers, from 0 on, that CBOR encodes in a single byte. A byte
// slice is filled with one such byte, because it may be meant for a value that is already encoded.
const cborSmallIntegers = 24

// filler fills values with ascending numbers, or with what is derived from them.
type filler struct{ count int }

// next returns the next number.
func (f *filler) next() int {
	f.count++
	return f.count
}

// fill sets a value and all values in it, down to maxDepth. Unexported fields stay as they are.
func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(fillTime.Add(time.Duration(f.next()) * time.Second)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	default:
		f.fillCompound(v, depth)
	}
}

// fillCompound fills a value that contains other values. Slices and maps get one element.
func (f *filler) fillCompound(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte{byte(f.next() % cborSmallIntegers)})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	}
}
