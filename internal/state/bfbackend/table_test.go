package bfbackend

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briarferry"
)

var start = time.Unix(1_700_000_000, 0)

func announcement(port uint16, seq uint64) briarferry.Announcement {
	return briarferry.Announcement{
		Service: "desk", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Region: "recife", FailureDomain: "recife-a", Slots: 3, ConnectionLimit: 400,
		State: briarferry.StateReady, Sequence: seq,
	}
}

// TestOlderSequenceIsRefused guards against a delayed announcement in state ready that
// overwrites a later one in state draining.
func TestOlderSequenceIsRefused(t *testing.T) {
	tab := &Table{Origin: "e1"}
	drain := announcement(1, 8)
	drain.State = briarferry.StateDraining
	if _, err := tab.Announce(start, drain); err != nil {
		t.Fatal(err)
	}
	if _, err := tab.Announce(start, announcement(1, 7)); err != ErrStale {
		t.Fatalf("got %v, want ErrStale", err)
	}
	if b, ok := tab.Get(start, Key(drain.ID())); !ok || b.State != briarferry.StateDraining {
		t.Fatalf("got %v %v, want a draining server", b.State, ok)
	}
}

// TestAssignedSequenceIsAboveKnown guards against an entry with a slow clock that
// assigns a sequence below the one of the previous announcement, which is then refused.
func TestAssignedSequenceIsAboveKnown(t *testing.T) {
	tab := &Table{Origin: "e1"}
	known := announcement(1, uint64(start.UnixMilli())+5000)
	_, _ = tab.Announce(start, known)
	if a, err := tab.Announce(start, announcement(1, 0)); err != nil || a.Sequence != known.Sequence+1 {
		t.Fatalf("got sequence %d, %v", a.Sequence, err)
	}
}

// TestLeaseAndCapacity guards against servers that stay in the table after their lease
// has expired, and against a table that grows beyond its capacity.
func TestLeaseAndCapacity(t *testing.T) {
	tab := &Table{Origin: "e1", Capacity: 2}
	_, _ = tab.Announce(start, announcement(1, 1))
	_, _ = tab.Announce(start, announcement(2, 1))
	if _, err := tab.Announce(start, announcement(3, 1)); err != ErrFull {
		t.Fatalf("got %v, want ErrFull", err)
	}
	if n := len(tab.ServiceBackends(start.Add(LeaseDuration-1), "desk")); n != 2 {
		t.Fatalf("got %d servers before the leases expire, want 2", n)
	}
	if n := len(tab.ServiceBackends(start.Add(LeaseDuration), "desk")); n != 0 {
		t.Fatalf("got %d servers after the leases expired, want 0", n)
	}
	tab.Sweep(start.Add(LeaseDuration + sequenceRetention + 1))
	if _, err := tab.Announce(start.Add(time.Minute), announcement(3, 1)); err != nil {
		t.Fatalf("announcement after the sweep: %v", err)
	}
}

// TestDeltasConverge guards against changes that are lost when deltas are limited in
// size, and against digests that differ for equal tables.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := &Table{Origin: "e1"}, &Table{Origin: "e2"}
		now, acked := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			m := announcement(uint16(rapid.IntRange(1, 9).Draw(t, "port")), 0)
			m.State = rapid.SampledFrom([]briarferry.BackendState{"starting", "ready", "draining"}).Draw(t, "state")
			_, _ = a.Announce(now, m)
			if rapid.Bool().Draw(t, "send") {
				acked = apply(t, a, b, now, acked, 250)
			}
		}
		for acked != a.Version() {
			acked = apply(t, a, b, now, acked, 250)
		}
		if a.Digest(now) != b.Digest(now) {
			t.Fatalf("digests differ: %v and %v", a.Digest(now), b.Digest(now))
		}
		page, next, more := a.Page(now, 0, 5)
		rest, _, _ := a.Page(now, next, 100)
		if total := int(a.Digest(now).Count); len(page)+len(rest) != total || more != (total > 5) {
			t.Fatalf("pages of %d and %d records, want %d in all", len(page), len(rest), total)
		}
	})
}

func apply(t *rapid.T, a, b *Table, now time.Time, acked uint64, size int) uint64 {
	d := a.Changes(now, acked, func(string) bool { return true }, size)
	for _, r := range d.Records {
		if f := r.Validate(); len(f) > 0 {
			t.Fatal(f)
		}
		_, _ = b.Merge(now, r)
	}
	for _, r := range d.Refreshes {
		if !b.Refresh(now, "e1", r) {
			t.Fatal("got a refresh of an unknown server")
		}
	}
	return d.Upto
}
