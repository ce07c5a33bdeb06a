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

const (
	// maxSourceBytes is the size at which a stored source is cut off when it is decompressed.
	maxSourceBytes = 64 << 20
	// maxHomesLogged limits the routes with other home regions that are logged for a table.
	maxHomesLogged = 20
)

// PutRoutes replaces the route table if the current version is base. The source is the table
// as the operator sent it, which Routes returns. Repeating an accepted change succeeds.
func (n *Node) PutRoutes(ctx context.Context, base uint64, table *briarferry.RouteTable, source []byte) error {
	compressed, err := compress(source)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, source))
	started, before := time.Now(), n.machine.State().Routes
	r, err := n.propose(ctx, bffleet.Command{PutRoutes: &bffleet.PutRoutes{Base: base, Table: *table, Source: compressed, Digest: digest[:]}})
	n.Log.Info().Err(err).Uint64("base", base).Uint64("version", table.Version).Int("routes", len(table.Routes)).Str("code", string(r.Code)).
		Uint64("current", r.Version).Uint64("revision", r.Revision).Dur("took_ms", time.Since(started)).Msg("route table change requested")
	if err != nil {
		return err
	}
	if r.Code == bffleet.CodeOK {
		n.logHomes(before, table)
	}
	return codeError(r.Code)
}

// logHomes logs the routes of the new table whose home regions differ from those before.
func (n *Node) logHomes(before, table *briarferry.RouteTable) {
	old := map[bffleet.RouteKey][]string{}
	if before != nil {
		for i := range before.Routes {
			r := &before.Routes[i]
			old[bffleet.RouteKey{Host: r.Host, Prefix: r.Prefix}] = r.HomeRegions
		}
	}
	lines := 0
	for i := range table.Routes {
		r := &table.Routes[i]
		from := old[bffleet.RouteKey{Host: r.Host, Prefix: r.Prefix}]
		if !slices.Equal(from, r.HomeRegions) && lines < maxHomesLogged {
			lines++
			n.Log.Info().Uint64("version", table.Version).Str("route", r.Name).Strs("from", from).Strs("to", r.HomeRegions).Msg("home regions changed")
		}
	}
}

// Routes returns the source of the newest route table, as the operator sent it, and its
// version, or nil and 0 if there is none. The read is linearizable: it fails unless a leader
// confirms that no newer one exists.
func (n *Node) Routes(ctx context.Context) ([]byte, uint64, error) {
	if err := n.catchUp(ctx); err != nil {
		return nil, 0, err
	}
	compressed, version := n.machine.Source()
	if version == 0 {
		return nil, 0, nil
	}
	source, err := decompress(compressed)
	return source, version, err
}

// KeySalt returns the salt of the newest route table known to this VM, or a new random one
// where that has none. An older salt is safe too: the digests of all keys change with it, so
// that the next change of the table is larger.
func (n *Node) KeySalt() []byte {
	if t := n.machine.State().Routes; t != nil && len(t.KeySalt) > 0 {
		return t.KeySalt
	}
	return briarferry.NewKeySalt()
}

// Lookup returns the entries for a caller of the host in the region and failure domain,
// and how long the caller may cache them. It returns none rather than entries that the home
// regions of the host's requests exclude.
func (n *Node) Lookup(host, region, domain string) ([]netip.AddrPort, time.Duration) {
	counters.lookups.Add(1)
	ttl := maxLookupTTL
	if n.LookupTTL > 0 {
		ttl = min(ttl, n.LookupTTL)
	}
	return n.entries.lookup(time.Now(), region, domain, n.homes.limits(n.machine.State(), host)), ttl
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
	out, err := io.ReadAll(io.LimitReader(r, maxSourceBytes))
	if err != nil {
		return nil, fmt.Errorf("bfcontrol: decompress: %w", err)
	}
	return out, nil
}
