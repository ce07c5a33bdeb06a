package bfcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

// maxSource bounds a stored document after decompression.
const maxSource = 64 << 20

// PutRoutes makes a route table the one in force if the current version is base. Source
// is the operator's document, which Routes returns. A resend of an accepted change
// succeeds again.
func (n *Node) PutRoutes(ctx context.Context, base uint64, table *briarferry.RouteTable, source []byte) error {
	packed, err := compress(source)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, source))
	started := time.Now()
	r, err := n.propose(ctx, bffleet.Command{PutRoutes: &bffleet.PutRoutes{Base: base, Table: *table, Source: packed, Digest: digest[:]}})
	n.Log.Info().Err(err).Uint64("base", base).Uint64("version", table.Version).Int("routes", len(table.Routes)).Str("code", string(r.Code)).
		Uint64("current", r.Version).Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("route table ordered")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// Routes returns the newest document and its version, nil and 0 where there is none. It
// fails where a newer one could exist.
func (n *Node) Routes(ctx context.Context) ([]byte, uint64, error) {
	index, err := n.replica.ReadIndex(ctx)
	if err != nil {
		return nil, 0, ErrUnavailable
	}
	for n.replica.Status().Applied < index {
		select {
		case <-ctx.Done():
			return nil, 0, ErrUnavailable
		case <-time.After(5 * time.Millisecond):
		}
	}
	packed, version := n.machine.Source()
	if version == 0 {
		return nil, 0, nil
	}
	source, err := decompress(packed)
	return source, version, err
}

// Evacuate sets or withdraws the evacuation of a failure domain.
func (n *Node) Evacuate(ctx context.Context, domain string, withdraw bool) error {
	if _, ok := n.Regions[domain]; !ok {
		return ErrInvalid
	}
	started := time.Now()
	r, err := n.propose(ctx, bffleet.Command{Evacuate: &bffleet.Evacuate{FailureDomain: domain, Withdraw: withdraw}})
	n.Log.Info().Err(err).Str("failure_domain", domain).Bool("withdraw", withdraw).Str("code", string(r.Code)).
		Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("evacuation ordered")
	if err != nil {
		return err
	}
	return codeError(r.Code)
}

// Lookup returns the entries for callers of a host in a region and failure domain, and
// how long the answer may be used.
func (n *Node) Lookup(host, region, domain string) ([]netip.AddrPort, time.Duration) {
	counters.lookups.Add(1)
	ttl := maxLookupTTL
	if n.LookupTTL > 0 {
		ttl = min(ttl, n.LookupTTL)
	}
	return n.entries.lookup(time.Now(), region, domain, n.hasHomes(host)), ttl
}

// hasHomes tells whether a route of the host is bound to regions.
func (n *Node) hasHomes(host string) bool {
	routes := n.machine.State().Routes
	return routes != nil && slices.ContainsFunc(routes.Routes, func(r briarferry.Route) bool {
		return r.Host == host && len(r.HomeRegions) > 0
	})
}

// HTTPStatus returns the HTTP status for an error of this package.
func HTTPStatus(err error) int {
	var findings briarferry.Findings
	switch {
	case errors.Is(err, ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrInvalid), errors.As(err, &findings):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func codeError(c bffleet.Code) error {
	switch c {
	case bffleet.CodeOK:
		return nil
	case bffleet.CodeConflict:
		return ErrConflict
	}
	return ErrInvalid
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("bfcontrol: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("bfcontrol: compress: %w", err)
	}
	return buf.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("bfcontrol: decompress: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxSource))
	if err != nil {
		return nil, fmt.Errorf("bfcontrol: decompress: %w", err)
	}
	return out, nil
}
