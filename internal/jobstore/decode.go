package jobstore

import (
	"context"
	"fmt"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"
)

// decodeValue decodes the value of a key into record, which is a pointer. Its error names the key
// and wraps codec.ErrMalformed.
func decodeValue(item statestore.KeyValue, record any) error {
	if err := codec.Unmarshal(item.Value, record); err != nil {
		return fmt.Errorf("decode %s: %w", item.Key, err)
	}
	return nil
}

// decodeAll decodes items in their order. It returns the error of the first that can't be decoded.
func decodeAll[T any](items []statestore.KeyValue, decode func(statestore.KeyValue) (T, error)) ([]T, error) {
	var decoded []T
	for _, item := range items {
		record, err := decode(item)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, record)
	}
	return decoded, nil
}

// listAndDecode reads all keys with a prefix and decodes their values. A watch of the prefix that
// starts from the returned revision misses no change.
func listAndDecode[T any](
	ctx context.Context, store Store, prefix string, decode func(statestore.KeyValue) (T, error),
) (records []T, revision uint64, err error) {
	items, revision, err := store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	records, err = decodeAll(items, decode)
	return records, revision, err
}
