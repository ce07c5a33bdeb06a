package bfnode

import (
	"net/netip"
	"testing"
	"time"

	"briarferry"
)

// lastBalancer picks the last candidate.
type lastBalancer struct{}

func (lastBalancer) Pick(_ time.Time, c []briarferry.Candidate) int               { return len(c) - 1 }
func (lastBalancer) Report(time.Time, briarferry.BackendID, briarferry.TryReport) {}

// TestDrainBalancer guards against new work for a draining server, and against a
// choice that refers to the wrong candidate once others are left out.
func TestDrainBalancer(t *testing.T) {
	var all []briarferry.Candidate
	for port := range uint16(4) {
		b := briarferry.Backend{Announcement: briarferry.Announcement{Address: netip.AddrPortFrom(netip.IPv4Unspecified(), port)}}
		all = append(all, briarferry.Candidate{Backend: b})
	}
	for _, c := range []struct {
		draining map[uint16]bool
		want     int
	}{
		{nil, 3},
		{map[uint16]bool{3: true}, 2},
		{map[uint16]bool{0: true, 2: true}, 3},
		{map[uint16]bool{1: true, 2: true, 3: true}, 0},
		{map[uint16]bool{0: true, 1: true, 2: true, 3: true}, -1},
	} {
		b := drainBalancer{lastBalancer{}, func(b briarferry.Backend) bool { return !c.draining[b.Address.Port()] }}
		if got := b.Pick(time.Time{}, all); got != c.want {
			t.Errorf("draining %v: picked %d, want %d", c.draining, got, c.want)
		}
	}
}
