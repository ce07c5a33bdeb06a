// Package bfrpc carries calls between the system's processes over connect-go.
package bfrpc

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"briarferry/internal/state/bfcodec"
)

const (
	codecName = "cbor"
	// maxCallBytes bounds every request and response of a call; it is well above
	// the largest agreement message (1 MB of entries or snapshot).
	maxCallBytes = 8 << 20
)

// Codec encodes any Go value as CBOR, so calls need no generated code.
type Codec struct{}

// Name returns the suffix of the content type.
func (Codec) Name() string { return codecName }

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) { return bfcodec.Marshal(v) }

// Unmarshal decodes a message and validates it where its type can.
func (Codec) Unmarshal(data []byte, v any) error { return bfcodec.Unmarshal(data, v) }

// Handle registers a unary call on the mux. The procedure has the form
// "/briarferry.Service/Method".
func Handle[Req, Res any](mux *http.ServeMux, procedure string, fn func(context.Context, *Req) (*Res, error)) {
	call := func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := fn(ctx, req.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(res), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, call, handlerOptions()...))
}

// NewCall returns a function that makes a unary call at the given base address,
// such as "http://127.0.0.1:7000".
func NewCall[Req, Res any](client connect.HTTPClient, base, procedure string) func(context.Context, *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, strings.TrimSuffix(base, "/")+procedure, clientOptions()...)
	return func(ctx context.Context, req *Req) (*Res, error) {
		res, err := c.CallUnary(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
}

// handlerOptions leaves compression out: messages are short or already dense, and
// the control overhead per node is bounded.
func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(maxCallBytes), connect.WithCompression("gzip", nil, nil),
	}
}

func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(maxCallBytes), connect.WithSendMaxBytes(maxCallBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	}
}
