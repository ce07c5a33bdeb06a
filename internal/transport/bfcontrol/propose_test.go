package bfcontrol

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	"briarferry"
	"briarferry/internal/state/bffleet"
)

// newIdleNode returns a control VM whose replica doesn't run, so that it never leads.
func newIdleNode(t *testing.T) *Node {
	address := netip.MustParseAddr("127.0.0.1")
	n := &Node{
		Address: address, Seeds: func() []netip.Addr { return []netip.Addr{address} }, DataDir: t.TempDir(),
		Regions: map[string]string{"a": "r", "c": "q"}, Log: zerolog.Nop(),
	}
	n.Setup()
	return n
}

// applyTable applies a table to the node's state, as if it had been committed.
func applyTable(t *testing.T, n *Node, base uint64, table *briarferry.RouteTable) {
	t.Helper()
	digest := sha256.Sum256([]byte{byte(base)})
	c := bffleet.Command{PutRoutes: &bffleet.PutRoutes{Base: base, Table: *table, Digest: digest[:]}}
	cmd, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := bffleet.DecodeResult(n.machine.Apply(table.Version, cmd)); err != nil || r.Code != bffleet.CodeOK {
		t.Fatalf("table %d: %v, %v", table.Version, r, err)
	}
}

// TestKeySalt guards against a salt that differs from that of the table in force, which would
// change the digests of all keys and send every organisation again.
func TestKeySalt(t *testing.T) {
	n := newIdleNode(t)
	if salt := n.KeySalt(); len(salt) != briarferry.KeySaltBytes || bytes.Equal(salt, n.KeySalt()) {
		t.Errorf("salt without a table: %x", salt)
	}
	first := briarferry.NewKeySalt()
	for version := uint64(1); version < 4; version++ {
		table := testTable(version)
		table.KeySalt = first
		if version > 1 {
			table.KeySalt = n.KeySalt()
		}
		table.Organisations = []briarferry.Organisation{{Name: "one", Keys: []briarferry.KeyDigest{briarferry.DigestKey(table.KeySalt, "key")}}}
		applyTable(t, n, version-1, table)
		if got := n.KeySalt(); !bytes.Equal(got, first) {
			t.Errorf("version %d: salt %x, want %x", version, got, first)
		}
	}
	applyTable(t, n, 3, testTable(4))
	if got := n.KeySalt(); len(got) != briarferry.KeySaltBytes || bytes.Equal(got, first) {
		t.Errorf("salt after a table without organisations: %x", got)
	}
}

// TestTooLargeChange guards against a change above the size limit that is answered with 503
// by control VMs that aren't the leader, so that operators send it again and again.
func TestTooLargeChange(t *testing.T) {
	large := testTable(1)
	large.KeySalt = briarferry.NewKeySalt()
	for i := range briarferry.MaxOrganisations {
		o := briarferry.Organisation{Name: fmt.Sprint("organisation-", i)}
		for j := range 8 {
			o.Keys = append(o.Keys, briarferry.DigestKey(large.KeySalt, fmt.Sprint(i, "-", j)))
		}
		large.Organisations = append(large.Organisations, o)
	}
	if err := newIdleNode(t).PutRoutes(t.Context(), 0, large, nil); !errors.Is(err, ErrTooLarge) || HTTPStatus(err) != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}
