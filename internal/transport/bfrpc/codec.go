// Package bfrpc carries calls between the system's processes with connect-go.
package bfrpc

import (
	"connectrpc.com/connect"

	"briarferry/internal/state/bfcodec"
)

type codec struct{}

var _ connect.Codec = codec{}

// Name is the codec's part of the content type.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return bfcodec.Marshal(v) }

// Unmarshal decodes and validates a message.
func (codec) Unmarshal(data []byte, v any) error { return bfcodec.Unmarshal(data, v) }
