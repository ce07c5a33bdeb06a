package bfcontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"briarferry"
)

// TestTooLargeChange guards against a change above the size limit that is answered with 503
// by control VMs that aren't the leader, so that operators send it again and again.
func TestTooLargeChange(t *testing.T) {
	nodes := startGroup(t)
	put := func(n *testNode, table *briarferry.RouteTable) error {
		return eventually(t, func(ctx context.Context) error { return n.PutRoutes(ctx, table.Version-1, table, nil) })
	}
	if err := put(nodes[0], testTable(1)); err != nil {
		t.Fatal(err)
	}
	large := testTable(2)
	large.KeySalt = briarferry.NewKeySalt()
	for i := range briarferry.MaxOrganisations {
		o := briarferry.Organisation{Name: fmt.Sprint("organisation-", i)}
		for j := range 8 {
			o.Keys = append(o.Keys, briarferry.DigestKey(large.KeySalt, fmt.Sprint(i, "-", j)))
		}
		large.Organisations = append(large.Organisations, o)
	}
	for _, n := range nodes {
		if err := put(n, large); !errors.Is(err, ErrTooLarge) || HTTPStatus(err) != http.StatusRequestEntityTooLarge {
			t.Errorf("%s, leader %v: %v", n.Address, n.replica.Status().IsLeader, err)
		}
	}
}
