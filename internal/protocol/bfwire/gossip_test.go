package bfwire

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfquota"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/state/bfbackend"
)

func samples() []any {
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	vm := bfmember.Descriptor{Name: "e1", Region: "recife", FailureDomain: "recife-a", HTTP: addr, RPC: addr, Gossip: addr, Incarnation: 7}
	record := bfbackend.Record{Service: "desk", Address: addr, Region: "recife", FailureDomain: "recife-a",
		Slots: 3, ConnectionLimit: 400, State: "ready", LoadMilli: 333, Sequence: 9, AgeMillis: 20, Origin: "e1"}
	return []any{
		&Heartbeat{Membership: bfmember.Heartbeat{VM: vm, Sequence: 3, Heard: []bfmember.LastHeard{{Name: "e2", Incarnation: 1, Sequence: 2, AgeMillis: 5}},
			Learned: []bfmember.Descriptor{vm}}, Delta: bfbackend.Delta{Records: []bfbackend.Record{record},
			Refreshes: []bfbackend.Refresh{{Key: 1, Sequence: 2}}, Upto: 4}, Digest: bfbackend.Digest{Count: 1, Sum: 5}},
		&Changes{From: "e1", Incarnation: 7, Delta: bfbackend.Delta{Records: []bfbackend.Record{record}, Since: 4, Upto: 9}},
		&Pull{From: "e1", After: 1 << 63},
		&Page{From: "e1", Next: 5, Records: []bfbackend.Record{record}, More: true, Synced: true},
		&bfslot.Request{From: "e1", To: "e2", Sequence: 1, Holdings: []bfslot.Holding{{Key: 1, Held: 2, InFlight: 1}}, Demands: []bfslot.Demand{{Service: "desk", Waiting: 4}}},
		&bfslot.Grant{From: "e1", To: "e2", Sequence: 1, Revision: 2, Slots: []bfslot.GrantedSlots{{Key: 1, Slots: 2}}},
		&bfquota.Report{Entry: "e1", Incarnation: 7, Sequence: 9, Term: 3, ReplyTo: addr, Items: []bfquota.Demand{{Key: 1 << 63, Born: 2, Ack: 8, RateMilli: 1500, Share: 40_000, Spent: 6, Returned: 1, Held: 1, Waiting: 2, Ahead: 1}}},
		&bfquota.Grant{Sequence: 9, Owner: addr.Addr(), Term: 3, Items: []bfquota.Granted{{Key: 1 << 63, Share: 40_000, Rate: 12.5, Burst: 12.5, Tokens: 2, Keep: 1, TokenMillis: 1000, RetryMillis: 80}}},
		planReport(2), planReply(2),
		&TableConfirmation{EchoSequence: 3, Version: 4, Age: 250 * time.Millisecond},
	}
}

// TestEncodeDecode guards against messages that change when encoded and decoded, and
// against malformed or invalid datagrams that are accepted.
func TestEncodeDecode(t *testing.T) {
	for _, m := range samples() {
		data, err := Encode(m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		decoded, err := Decode(data)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		if reencoded, _ := Encode(decoded); !bytes.Equal(reencoded, data) {
			t.Errorf("%T changed when encoded and decoded", m)
		}
		if _, err := Decode(data[:len(data)-1]); err == nil {
			t.Errorf("%T: a truncated datagram was accepted", m)
		}
		if _, err := Decode(append(data, 0)); err == nil {
			t.Errorf("%T: a datagram with an extra byte was accepted", m)
		}
	}
	for _, m := range []any{&Pull{}, &bfslot.Request{From: "e1"}, &bfslot.Grant{From: "e1", To: "e2"}, &Heartbeat{}, &Page{From: "?"}, &PlanReport{Entry: "e1"}, &PlanReply{Part: 1},
		&TableConfirmation{}, &TableConfirmation{Version: 1, Age: -1},
		&bfquota.Report{Entry: "e1", Sequence: 1}, &bfquota.Grant{Items: []bfquota.Granted{{Rate: -1}}}, &bfquota.Grant{Items: make([]bfquota.Granted, bfquota.MaxItems+1)}} {
		data, _ := Encode(m)
		if _, err := Decode(data); err == nil {
			t.Errorf("%T: an invalid message was accepted", m)
		}
	}
}

// FuzzDecode guards against datagrams that crash the decoder, and against messages
// that pass validation but can't be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		data, _ := Encode(m)
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{KindHeartbeat, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		reencoded, err := Encode(m)
		if err != nil {
			return // the input had a shorter encoding; this one exceeds the size limit
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatalf("%T: %v", m, err)
		}
	})
}

// TestQuotaDatagramSize guards against reports and grants that don't fit into one packet.
func TestQuotaDatagramSize(t *testing.T) {
	addr := netip.MustParseAddrPort("[2001:db8:1:2:3:4:5:6]:40000")
	r := &bfquota.Report{Entry: "entry-of-a-long-name-0123456789", Incarnation: 1 << 60, Sequence: 1 << 28, Term: 1 << 20, ReplyTo: addr}
	g := &bfquota.Grant{Sequence: 1 << 28, Owner: addr.Addr(), Term: 1 << 20}
	for range bfquota.MaxItems {
		r.Items = append(r.Items, bfquota.Demand{Key: 1 << 63, Born: 1 << 27, Ack: 1<<28 - 1, RateMilli: 1 << 20, Share: 100_000, Spent: 1 << 20, Returned: 1 << 16, Held: 30, Waiting: 300, Ahead: 30})
		g.Items = append(g.Items, bfquota.Granted{Key: 1 << 63, Share: 100_000, Rate: 123.456, Burst: 123.456, Tokens: 300, Keep: 30, TokenMillis: 1000, RetryMillis: 1000})
	}
	for _, m := range []any{r, g} {
		if data, err := Encode(m); err != nil || len(data) > 1400 {
			t.Errorf("%T: %d bytes, %v; want at most 1,400", m, len(data), err)
		}
	}
}
