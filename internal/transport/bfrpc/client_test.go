package bfrpc

import (
	"net/netip"
	"testing"
)

// TestNotLeaderMessage guards against a message that names an invalid address where the
// leader is unknown.
func TestNotLeaderMessage(t *testing.T) {
	for _, c := range []struct {
		err  NotLeaderError
		want string
	}{
		{NotLeaderError{Leader: netip.MustParseAddrPort("127.0.0.1:7")}, "bfrpc: VM is not the leader; the leader is 127.0.0.1:7"},
		{NotLeaderError{}, "bfrpc: VM is not the leader and knows none"},
	} {
		if got := c.err.Error(); got != c.want {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}
