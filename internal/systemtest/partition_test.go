package systemtest

import (
	"net/http"
	"testing"
	"time"

	"briarferry/internal/protocol/bfapi"
)

// TestIsolatedLeader guards against a leader that keeps granting leases or accepting
// changes after its packets are dropped, in both directions or outbound only. It also
// guards against a control group that stops in this case, or that reverts changes when
// the VM is reachable again.
func TestIsolatedLeader(t *testing.T) {
	c := startClusterWith(t, clusterOptions{relayed: true})
	tests := []struct {
		name              string
		outbound, inbound bool
	}{
		{"both directions", true, true},
		{"outbound only", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			leader := c.leader()
			before, _, err := c.config(c.vms[leader])
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			c.relays.setBlocked(leader, test.outbound, test.inbound)
			other := c.vms[(leader+1)%controlCount]
			c.updateConfigVia(other)
			t.Logf("a change was accepted %s after the leader was isolated", time.Since(start).Round(time.Millisecond))
			// The accepted change is in force on all other VMs, so the isolated VM, which
			// can't have received it, must not accept requests.
			if status := c.get(c.vms[leader].http, bfapi.PathReady, nil); status == http.StatusOK {
				t.Errorf("%s still accepts requests", c.vms[leader].name)
			}
			for range 3 {
				c.updateConfigVia(other)
			}
			c.relays.setBlocked(leader, false, false)
			c.waitReady(c.vms[leader])
			c.waitSameConfig()
			after, _, err := c.config(c.vms[leader])
			if err != nil || after.Version < before.Version+4 {
				t.Errorf("%s has version %d after its isolation and had %d before: %v", c.vms[leader].name, after.Version, before.Version, err)
			}
		})
	}
}

// leader returns the index of the VM whose replica leads the control group.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.waitFor("a VM leads the control group", readyTimeout, func() bool {
		for i, v := range c.vms[:controlCount] {
			var s bfapi.VMStatus
			if c.get(v.http, bfapi.PathStatus+"?"+bfapi.ParamScope+"="+bfapi.ScopeLocal, &s) == http.StatusOK && s.Role == bfapi.RoleLeader {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// updateConfigVia changes the configuration through a VM.
func (c *cluster) updateConfigVia(v *vm) {
	c.t.Helper()
	c.waitFor("a change is accepted through "+v.name, readyTimeout, func() bool {
		cfg, etag, err := c.config(v)
		if err != nil {
			return false
		}
		cfg.Limits.MaxBodyBytes += 1 << 20
		return c.put(c.t.Context(), v, cfg, etag, bfapi.NewRequestID()) == http.StatusOK
	})
}
