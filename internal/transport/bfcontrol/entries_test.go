package bfcontrol

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"briarferry/internal/protocol/bfwire"
)

func entryHeartbeat(i int, port uint16, sequence uint64) *bfwire.EntryHeartbeat {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
	return &bfwire.EntryHeartbeat{Sequence: sequence, Ready: true, Entry: bfwire.EntryInfo{Name: fmt.Sprint("e", i), Region: "r", FailureDomain: "a", HTTP: a, Gossip: a, Incarnation: 1}}
}

// TestEntriesDigest guards against a digest that stays the same although an entry joined,
// expired, returned or changed its address.
func TestEntriesDigest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := &entryTable{log: zerolog.Nop()}
		now := time.Unix(1000, 0)
		for sequence := range uint64(40) {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "heartbeat") {
				table.heartbeat(now, entryHeartbeat(rapid.IntRange(0, 3).Draw(r, "entry"), uint16(rapid.IntRange(1, 2).Draw(r, "port")), sequence))
			}
			want := xxhash.New()
			for _, e := range table.live(now) {
				_, _ = want.WriteString(e.Name + "\x00" + e.HTTP.String())
			}
			if got := table.digest(now); got != want.Sum64() {
				r.Fatalf("step %d: the digest is not that of the live entries", sequence)
			}
		}
	})
}

// TestManyReplacedEntries guards against a control VM that ignores new entries after thousands
// of earlier ones have been replaced by VMs with other names.
func TestManyReplacedEntries(t *testing.T) {
	table := &entryTable{log: zerolog.Nop()}
	now := time.Unix(1000, 0)
	for i := range maxEntries + 100 {
		now = now.Add(entryExpiry / 100)
		if !table.heartbeat(now, entryHeartbeat(i, 80, 1)) {
			t.Fatalf("entry %d is ignored", i)
		}
	}
	if n := len(table.entries); n > maxEntries {
		t.Errorf("the table has %d entries", n)
	}
	for i := range maxEntries {
		table.heartbeat(now, entryHeartbeat(maxEntries+100+i, 80, 1))
	}
	if table.heartbeat(now, entryHeartbeat(3*maxEntries, 80, 1)) {
		t.Error("a live entry was forgotten for a new one")
	}
}

// BenchmarkDigest shows the time for the digest in a heartbeat while all entries send theirs.
func BenchmarkDigest(b *testing.B) {
	for _, entries := range []int{31, 113, 520} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			table := &entryTable{log: zerolog.Nop()}
			now := time.Unix(1000, 0)
			for n := 0; b.Loop(); n++ {
				now = now.Add(500 * time.Millisecond / time.Duration(entries))
				table.heartbeat(now, entryHeartbeat(n%entries, 80, uint64(n+1)))
				table.digest(now)
			}
		})
	}
}
