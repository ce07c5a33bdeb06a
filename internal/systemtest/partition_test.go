package systemtest

import (
	"net/http"
	"testing"
	"time"

	"briarferry/internal/protocol/bfapi"
)

// TestControlVMCutOff guards against a control VM that is silently cut off, in both
// directions and then in one, and goes on granting leases or accepting changes; and
// against a group that stops because of it or reverts when it returns.
func TestControlVMCutOff(t *testing.T) {
	c := startClusterWith(t, clusterOptions{relayed: true})
	tests := []struct {
		name              string
		leaving, reaching bool
	}{
		{"both directions", true, true},
		{"only what it sends", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			leader := c.leader()
			before, _, err := c.config(c.vms[leader])
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			c.relays.cut(leader, test.leaving, test.reaching)
			other := c.vms[(leader+1)%controlCount]
			c.changeThrough(other)
			t.Logf("a change was accepted %s after the cut", time.Since(start).Round(time.Millisecond))
			// The accepted change is in force everywhere, so the VM that can't have
			// heard of it must take no work.
			if status := c.get(c.vms[leader].http, bfapi.PathReady, nil); status == http.StatusOK {
				t.Errorf("%s still takes work", c.vms[leader].name)
			}
			for range 3 {
				c.changeThrough(other)
			}
			c.relays.cut(leader, false, false)
			c.waitReady(c.vms[leader])
			c.expectAgreement()
			after, _, err := c.config(c.vms[leader])
			if err != nil || after.Version < before.Version+4 {
				t.Errorf("%s came back with version %d after %d: %v", c.vms[leader].name, after.Version, before.Version, err)
			}
		})
	}
}

// leader returns the index of the VM that leads the control group.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.await("one VM leads", readyWithin, func() bool {
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

// changeThrough makes one change through a VM.
func (c *cluster) changeThrough(v *vm) {
	c.t.Helper()
	c.await("a change is accepted through "+v.name, readyWithin, func() bool {
		cfg, etag, err := c.config(v)
		if err != nil {
			return false
		}
		cfg.Limits.MaxBodyBytes += 1 << 20
		return c.put(c.t.Context(), v, cfg, etag, bfapi.NewRequestID()) == http.StatusOK
	})
}
