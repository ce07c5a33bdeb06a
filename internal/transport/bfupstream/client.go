// Package bfupstream sends requests to backend servers.
package bfupstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

const (
	dialTimeout    = 250 * time.Millisecond
	idleTimeout    = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

var errCrossed = errors.New("answer carries the id of another request")

// Client sends one try at a time to a backend server. Its zero value is not
// usable; call New.
type Client struct {
	http *http.Client
}

// New returns a client with its own connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends the request and reads the whole answer.
func (c *Client) Do(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*briarferry.Answer, error) {
	out, err := newRequest(ctx, b, r)
	if err != nil {
		return nil, &briarferry.TryError{Backend: b.ID(), Err: err}
	}
	resp, err := c.http.Do(out)
	if err != nil {
		return nil, &briarferry.TryError{Backend: b.ID(), Dispatched: !isDialError(err), ConnectionDied: !errors.Is(err, context.DeadlineExceeded), Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, &briarferry.TryError{Backend: b.ID(), Dispatched: true, ConnectionDied: true, Err: err}
	}
	if id := resp.Header.Get(bfapi.HeaderRequestID); id != "" && id != r.ID {
		return nil, &briarferry.TryError{Backend: b.ID(), Dispatched: true, Err: errCrossed}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(bfapi.HeaderShed) != "" {
		return nil, &briarferry.TryError{Backend: b.ID(), Err: errors.New("request was shed")}
	}
	return &briarferry.Answer{Status: resp.StatusCode, Header: bfapi.ForwardHeader(resp.Header), Body: body}, nil
}

func newRequest(ctx context.Context, b briarferry.Backend, r *briarferry.Request) (*http.Request, error) {
	url := "http://" + b.Address.String() + r.Target
	out, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("bfupstream: build request: %w", err)
	}
	out.Header = r.Header.Clone()
	out.Header.Set(bfapi.HeaderRequestID, r.ID)
	out.Header.Set(bfapi.HeaderRequestTimeout, bfapi.FormatTimeout(time.Until(r.Deadline)))
	// The transport resends a request on a new connection where it takes it for
	// idempotent; without GetBody it can't resend one with a body.
	out.GetBody = nil
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
