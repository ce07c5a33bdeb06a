package bfcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

const operatorTimeout = 15 * time.Second

var errConflict = errors.New("bfcommand: another operator changed the configuration in the meantime; run apply again")

// operatorClient sends operator requests (configuration, drains, status) to the first entry
// that responds.
type operatorClient struct {
	entries    []netip.AddrPort
	httpClient bftls.Caller
	token      string
}

type operatorResponse struct {
	status int
	etag   string
	body   []byte
}

// call sends a request to one entry after another until one responds with a status below
// 500. Resending a change is safe, as changes carry an idempotency key.
func (c *operatorClient) call(ctx context.Context, method, path string, header map[string]string, body any) (operatorResponse, error) {
	payload := []byte(nil)
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return operatorResponse{}, fmt.Errorf("bfcommand: encode request: %w", err)
		}
	}
	var lastErr error
	for _, entry := range c.entries {
		resp, err := c.callEntry(ctx, entry, method, path, header, payload)
		if err == nil && resp.status < http.StatusInternalServerError {
			return resp, nil
		}
		lastErr = err
		if err == nil {
			lastErr = problemError(resp)
		}
	}
	return operatorResponse{}, lastErr
}

func (c *operatorClient) callEntry(ctx context.Context, entry netip.AddrPort, method, path string, header map[string]string, payload []byte) (operatorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.httpClient.URL(entry, path), bytes.NewReader(payload))
	if err != nil {
		return operatorResponse{}, fmt.Errorf("bfcommand: build request: %w", err)
	}
	req.Header.Set("Content-Type", bfapi.TypeJSON)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return operatorResponse{}, fmt.Errorf("bfcommand: request to entry %s failed; check --entries and --ca: %w", entry, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, bfapi.MaxControlBodyBytes))
	if err != nil {
		return operatorResponse{}, fmt.Errorf("bfcommand: read response: %w", err)
	}
	return operatorResponse{status: resp.StatusCode, etag: resp.Header.Get(bfapi.HeaderETag), body: data}, nil
}

// problemError returns the error that an unsuccessful response describes. It is of type
// briarferry.Findings if the response has findings.
func problemError(resp operatorResponse) error {
	var p bfapi.Problem
	if err := json.Unmarshal(resp.body, &p); err != nil {
		return fmt.Errorf("bfcommand: the entry responded with HTTP status %d", resp.status)
	}
	if len(p.Findings) > 0 {
		return p.Findings
	}
	return fmt.Errorf("bfcommand: the entry responded with HTTP status %d: %s", resp.status, strings.TrimSpace(p.Title+" "+p.Detail))
}

// config returns the current configuration and its entity tag.
func (c *operatorClient) config(ctx context.Context) (*briarferry.Config, string, error) {
	resp, err := c.call(ctx, http.MethodGet, bfapi.PathConfig, nil, nil)
	if err != nil {
		return nil, "", err
	}
	if resp.status != http.StatusOK {
		return nil, "", problemError(resp)
	}
	cfg := &briarferry.Config{}
	if err := json.Unmarshal(resp.body, cfg); err != nil {
		return nil, "", fmt.Errorf("bfcommand: decode configuration: %w", err)
	}
	return cfg, resp.etag, nil
}

// putConfig replaces the configuration. It returns errConflict if the current one no longer
// has the entity tag.
func (c *operatorClient) putConfig(ctx context.Context, cfg *briarferry.Config, etag string) error {
	header := map[string]string{bfapi.HeaderIfMatch: etag, bfapi.HeaderIdempotencyKey: bfapi.NewRequestID()}
	resp, err := c.call(ctx, http.MethodPut, bfapi.PathConfig, header, cfg)
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusPreconditionFailed:
		return errConflict
	case resp.status != http.StatusOK:
		return problemError(resp)
	}
	return nil
}

func (c *operatorClient) status(ctx context.Context) (*bfapi.Status, error) {
	resp, err := c.call(ctx, http.MethodGet, bfapi.PathStatus, nil, nil)
	if err != nil {
		return nil, err
	}
	s := &bfapi.Status{}
	if err := json.Unmarshal(resp.body, s); err != nil {
		return nil, fmt.Errorf("bfcommand: decode status: %w", err)
	}
	return s, nil
}
