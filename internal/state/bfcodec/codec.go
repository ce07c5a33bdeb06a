// Package bfcodec encodes and decodes the system's messages and records as CBOR.
package bfcodec

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"briarferry"
)

const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNestedLevels  = 16
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value; equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("bfcodec: encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes exactly one value, and validates it if its type is a
// briarferry.Validator.
func Unmarshal(data []byte, v any) error {
	dec := decMode.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("bfcodec: decode %T: %w", v, err)
	}
	if dec.NumBytesRead() != len(data) {
		return fmt.Errorf("bfcodec: decode %T: %d bytes too many", v, len(data)-dec.NumBytesRead())
	}
	if validator, ok := v.(briarferry.Validator); ok {
		if err := validator.Validate().Err(); err != nil {
			return fmt.Errorf("bfcodec: decode %T: %w", v, err)
		}
	}
	return nil
}
