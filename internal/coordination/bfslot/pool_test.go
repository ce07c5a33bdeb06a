package bfslot

import (
	"net/netip"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bfbackend"
)

type (
	fixedMembers  struct{ vms []briarferry.VM }
	discardSender struct{}
	firstBalancer struct{}
)

func (m fixedMembers) Self() briarferry.VM   { return m.vms[0] }
func (m fixedMembers) Live() []briarferry.VM { return m.vms }
func (m fixedMembers) Up() []briarferry.VM   { return m.vms }
func (m fixedMembers) Connected() bool       { return true }
func (m fixedMembers) Converged() bool       { return true }
func (m fixedMembers) Epoch() uint64         { return 0 }

func (discardSender) SendRequest(string, *Request) {}
func (discardSender) SendGrant(string, *Grant)     {}

func (firstBalancer) Pick(time.Time, []briarferry.Candidate) int                   { return 0 }
func (firstBalancer) Report(time.Time, briarferry.BackendID, briarferry.TryReport) {}

func testPool(vms, servers int) *Pool {
	m := fixedMembers{}
	for i := range vms {
		m.vms = append(m.vms, briarferry.VM{Name: string(rune('a' + i)), Region: "recife", Incarnation: 1})
	}
	table := &bfbackend.Table{Origin: "a"}
	for i := range servers {
		_, _ = table.Announce(time.Now(), briarferry.Announcement{Service: "desk", Region: "recife", Slots: 3, State: briarferry.StateReady,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
	}
	p := &Pool{Members: m, Table: table, Balancer: firstBalancer{}, Sender: discardSender{}}
	p.init()
	p.tick(time.Now())
	return p
}

// TestOwnerOf guards against owners outside the server's region, an uneven division of
// the servers among owners, servers that change their owner when another VM leaves, and
// servers without an owner because no VM is in their region.
func TestOwnerOf(t *testing.T) {
	var up []briarferry.VM
	for i := range 7 {
		up = append(up, briarferry.VM{Name: string(rune('a' + i)), Region: []string{"r0", "r1", "r2"}[i%3]})
	}
	count := map[string]int{}
	for key := range uint64(3000) {
		owner := ownerOf(key*0x9e3779b97f4a7c15, "r0", up)
		count[owner]++
		if remaining := ownerOf(key*0x9e3779b97f4a7c15, "r0", up[:6]); owner != "g" && remaining != owner {
			t.Fatalf("owner changed from %s to %s when g left", owner, remaining)
		}
	}
	for _, name := range []string{"a", "d", "g"} {
		if count[name] < 850 || count[name] > 1150 {
			t.Errorf("%s owns %d of 3000 servers", name, count[name])
		}
	}
	if ownerOf(1, "elsewhere", up) == "" {
		t.Error("no owner if the region has no VM")
	}
}

// BenchmarkRequestSlots measures the cost of a request that has to wait for a slot.
func BenchmarkRequestSlots(b *testing.B) {
	p := testPool(7, 132)
	for i := 0; b.Loop(); i++ {
		p.SetDemand("desk", map[int]int{1: 1 + i%2})
		p.sendDue(time.Now())
	}
}

// BenchmarkAcquire measures the request path with free slots in the pool.
func BenchmarkAcquire(b *testing.B) {
	p := testPool(1, 132)
	p.owner.mu.Lock()
	for _, s := range p.owner.servers {
		s.ownedSince = time.Now().Add(-time.Hour)
	}
	p.owner.mu.Unlock()
	for b.Loop() {
		s, ok := p.TryAcquire("desk", nil)
		if ok {
			s.Done(briarferry.TryReport{})
			continue
		}
		p.SetDemand("desk", nil)
		p.SetDemand("desk", map[int]int{1: 100})
		p.sendDue(time.Now())
	}
}
