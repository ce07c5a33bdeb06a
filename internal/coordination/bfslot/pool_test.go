package bfslot

import (
	"net/netip"
	"testing"
	"time"

	"briarferry"
	"briarferry/internal/state/bfbackend"
)

type (
	fixedMembers struct{ vms []briarferry.VM }
	dropAll      struct{}
	pickFirst    struct{}
)

func (m fixedMembers) Self() briarferry.VM   { return m.vms[0] }
func (m fixedMembers) Live() []briarferry.VM { return m.vms }
func (m fixedMembers) Up() []briarferry.VM   { return m.vms }
func (m fixedMembers) Connected() bool       { return true }
func (m fixedMembers) Converged() bool       { return true }
func (m fixedMembers) Epoch() uint64         { return 0 }

func (dropAll) SendRequest(string, *Request) {}
func (dropAll) SendGrant(string, *Grant)     {}

func (pickFirst) Pick(time.Time, []briarferry.Candidate) int                   { return 0 }
func (pickFirst) Report(time.Time, briarferry.BackendID, briarferry.TryReport) {}

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
	p := &Pool{Members: m, Table: table, Balancer: pickFirst{}, Sender: dropAll{}}
	p.init()
	p.tick(time.Now())
	return p
}

// TestHomeOf guards against homes outside the server's region, uneven homes, and
// servers that change their home when another VM leaves.
func TestHomeOf(t *testing.T) {
	var up []briarferry.VM
	for i := range 7 {
		up = append(up, briarferry.VM{Name: string(rune('a' + i)), Region: []string{"r0", "r1", "r2"}[i%3]})
	}
	count := map[string]int{}
	for key := range uint64(3000) {
		home := homeOf(key*0x9e3779b97f4a7c15, "r0", up)
		count[home]++
		if without := homeOf(key*0x9e3779b97f4a7c15, "r0", up[:6]); home != "g" && without != home {
			t.Fatalf("home moved from %s to %s when g left", home, without)
		}
	}
	for _, name := range []string{"a", "d", "g"} {
		if count[name] < 850 || count[name] > 1150 {
			t.Errorf("%s is the home of %d of 3000", name, count[name])
		}
	}
	if homeOf(1, "elsewhere", up) == "" {
		t.Error("no home where the region has no VM")
	}
}

// BenchmarkNewDemand measures what a request costs that has to wait for a slot.
func BenchmarkNewDemand(b *testing.B) {
	p := testPool(7, 132)
	for i := 0; b.Loop(); i++ {
		p.SetDemand("desk", map[int]int{1: 1 + i%2})
		p.flush(time.Now())
	}
}

// BenchmarkAcquire measures the request path with slots at hand.
func BenchmarkAcquire(b *testing.B) {
	p := testPool(1, 132)
	p.home.mu.Lock()
	for _, s := range p.home.servers {
		s.since = time.Now().Add(-time.Hour)
	}
	p.home.mu.Unlock()
	for b.Loop() {
		s, ok := p.TryAcquire("desk", nil)
		if ok {
			s.Done(briarferry.TryReport{})
			continue
		}
		p.SetDemand("desk", nil)
		p.SetDemand("desk", map[int]int{1: 100})
		p.flush(time.Now())
	}
}
