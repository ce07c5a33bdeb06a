// Package bfrpc implements the calls between the system's processes over connect-go.
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
	// maxCallBytes limits every request and response. It is well above the largest Raft
	// message, which carries 1 MB of log entries or of a snapshot.
	maxCallBytes = 8 << 20
)

// Codec encodes any Go value as CBOR, so that calls need no generated code.
type Codec struct{}

// Name returns the suffix of the content type.
func (Codec) Name() string { return codecName }

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) { return bfcodec.Marshal(v) }

// Unmarshal decodes a message, and validates it if it implements briarferry.Validator.
func (Codec) Unmarshal(data []byte, v any) error { return bfcodec.Unmarshal(data, v) }

// Handle registers the handler of a unary procedure on the mux. The name of the procedure
// has the form "/briarferry.Service/Method".
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

// NewCall returns a function that makes a unary call to the server at the base URL, such
// as "http://127.0.0.1:7000".
func NewCall[Req, Res any](client connect.HTTPClient, baseURL, procedure string) func(context.Context, *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, strings.TrimSuffix(baseURL, "/")+procedure, clientOptions()...)
	return func(ctx context.Context, req *Req) (*Res, error) {
		res, err := c.CallUnary(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
}

// handlerOptions disables compression: messages are short or hardly compressible, and
// the overhead of the control plane on each node must stay below a limit.
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
