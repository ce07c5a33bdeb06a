package bfgossip

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"briarferry/internal/coordination/bfmember"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/protocol/bfwire"
	"briarferry/internal/state/bfbackend"
)

func testKey(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

// TestKeyring guards against datagrams that are accepted with another key, system,
// sender or content, and against a rotation that loses datagrams.
func TestKeyring(t *testing.T) {
	message := []byte{bfwire.KindPull, 1, 2, 3}
	sealed := NewKeyring("north", testKey(1)).Seal("vm1", 7, message)
	changed := func(i int) []byte {
		d := bytes.Clone(sealed)
		d[i] ^= 1
		return d
	}
	tests := []struct {
		name string
		ring *Keyring
		data []byte
		want bool
	}{
		{"same key", NewKeyring("north", testKey(1)), sealed, true},
		{"old key during a rotation", NewKeyring("north", testKey(2), testKey(1)), sealed, true},
		{"new key before its use", NewKeyring("north", testKey(1), testKey(2)), sealed, true},
		{"another key", NewKeyring("north", testKey(2)), sealed, false},
		{"another system", NewKeyring("south", testKey(1)), sealed, false},
		{"no key", NewKeyring("north"), sealed, false},
		{"another system without keys", NewKeyring("south"), NewKeyring("north").Seal("vm1", 7, message), false},
		{"the same system without keys", NewKeyring("north"), NewKeyring("north").Seal("vm1", 7, message), true},
		{"longer", NewKeyring("north", testKey(1)), append(bytes.Clone(sealed), 0), false},
		{"shorter", NewKeyring("north", testKey(1)), sealed[:len(sealed)-1], false},
		{"unsealed", NewKeyring("north", testKey(1)), message, false},
		{"empty", NewKeyring("north", testKey(1)), nil, false},
	}
	for i := range sealed {
		tests = append(tests, struct {
			name string
			ring *Keyring
			data []byte
			want bool
		}{fmt.Sprint("byte ", i), NewKeyring("north", testKey(1)), changed(i), false})
	}
	for _, tt := range tests {
		name, incarnation, got, err := tt.ring.Open(tt.data)
		if (err == nil) != tt.want {
			t.Errorf("%s: error %v", tt.name, err)
		}
		if tt.want && (name != "vm1" || incarnation != 7 || !bytes.Equal(got, message)) {
			t.Errorf("%s: got %s %d %v", tt.name, name, incarnation, got)
		}
	}
}

func sealedNode(t testing.TB, i int, ring *Keyring) (*Node, *UDPNetwork) {
	t.Helper()
	vm := simVM(i)
	vm.Gossip, vm.Incarnation = freePorts(t, 1)[0], uint64(time.Now().UnixMicro())
	g := &UDPNetwork{Listen: vm.Gossip, Log: zerolog.Nop()}
	n := &Node{
		Members: bfmember.NewMembers(vm, nil), Table: &bfbackend.Table{Origin: vm.Name}, Network: g,
		Keys: func() *Keyring { return ring },
	}
	g.Receive = n.Receive
	return n, g
}

// TestStrangeDatagramsChangeNothing guards against datagrams over real sockets that
// carry no tag, or were recorded in a system with overlapping addresses, or tell of
// another sender than the sealed one.
func TestStrangeDatagramsChangeNothing(t *testing.T) {
	ring := NewKeyring("north", testKey(1))
	node, network := sealedNode(t, 0, ring)
	stop, err := network.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	conn, err := net.Dial("udp", network.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	vm := simVM(1)
	vm.Incarnation = 5
	beat := &bfwire.Heartbeat{Membership: bfmember.Heartbeat{VM: bfmember.Describe(vm), Sequence: 1}}
	plain, err := bfwire.Encode(beat)
	if err != nil {
		t.Fatal(err)
	}
	strange := [][]byte{
		plain,
		NewKeyring("south", testKey(1)).Seal(vm.Name, 5, plain),
		NewKeyring("north", testKey(2)).Seal(vm.Name, 5, plain),
		NewKeyring("north").Seal(vm.Name, 5, plain),
		ring.Seal("e2", 5, plain),
		ring.Seal(vm.Name, 6, plain),
	}
	before := counters.unauthentic.Value()
	for _, data := range strange {
		if _, err := conn.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	if !within(5*time.Second, func() bool { return counters.unauthentic.Value() == before+int64(len(strange)) }) {
		t.Fatalf("%d of %d strange datagrams were counted", counters.unauthentic.Value()-before, len(strange))
	}
	if peers := node.Members.Peers(); len(peers) != 0 {
		t.Errorf("strange datagrams made a VM known: %+v", peers)
	}
	if _, err := conn.Write(ring.Seal(vm.Name, 5, plain)); err != nil {
		t.Fatal(err)
	}
	if !within(5*time.Second, func() bool { return len(node.Members.Peers()) == 1 }) {
		t.Error("the right datagram was not taken")
	}
	// A message of the VM's earlier process is no news.
	pull, err := bfwire.Encode(&bfwire.Pull{From: vm.Name, Pages: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := node.open(ring.Seal(vm.Name, 4, pull)); ok {
		t.Error("a datagram of an earlier process was taken")
	}
	if _, ok := node.open(ring.Seal(vm.Name, 5, pull)); !ok {
		t.Error("a datagram of the running process was dropped")
	}
}

// TestSenders guards against a kind of message whose sender is not checked.
func TestSenders(t *testing.T) {
	var sent []any
	node, _ := sealedNode(t, 0, NewKeyring("north"))
	node.Network = recordNetwork{func(data []byte) {
		m, ok := node.open(data)
		if !ok {
			t.Errorf("own datagram %v was dropped", data)
		}
		sent = append(sent, m)
	}}
	for _, m := range sampleMessages() {
		node.send(netip.AddrPort{}, m)
		if name, _ := senderOf(m); name != "e1" {
			t.Errorf("%T: sender %q", m, name)
		}
		if got := sent[len(sent)-1]; reflect.TypeOf(got) != reflect.TypeOf(m) {
			t.Errorf("got %T, want %T", got, m)
		}
	}
}

type recordNetwork struct{ record func([]byte) }

func (n recordNetwork) Send(_ netip.AddrPort, data []byte) { n.record(data) }

// FuzzOpen guards against datagrams that crash the check of the tag or pass it
// without the key.
func FuzzOpen(f *testing.F) {
	ring := NewKeyring("north", testKey(1), testKey(2))
	message := []byte{bfwire.KindPull, 0x83, 0x62, 'e', '1', 0, 1}
	f.Add([]byte{})
	f.Add([]byte{sealedVersion, 255})
	f.Add(message)
	for _, other := range []*Keyring{ring, NewKeyring("north", testKey(2)), NewKeyring("south", testKey(1)), NewKeyring("north")} {
		f.Add(other.Seal("vm1", 7, message))
		f.Add(other.Seal("", 0, nil))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		name, incarnation, got, err := ring.Open(data)
		if err != nil {
			return
		}
		first, second := NewKeyring("north", testKey(1)), NewKeyring("north", testKey(2))
		if !bytes.Equal(first.Seal(name, incarnation, got), data) && !bytes.Equal(second.Seal(name, incarnation, got), data) {
			t.Errorf("%x passes, but no key makes it", data)
		}
	})
}

// BenchmarkTag measures what sealing and opening cost one datagram.
func BenchmarkTag(b *testing.B) {
	one, two := NewKeyring("north", testKey(1)), NewKeyring("north", testKey(2), testKey(1))
	for _, size := range []int{200, 1400} {
		message := bytes.Repeat([]byte{1}, size)
		sealed := one.Seal("vm1", 7, message)
		b.Run(fmt.Sprintf("seal/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				one.Seal("vm1", 7, message)
			}
		})
		for name, ring := range map[string]*Keyring{"open": one, "open second key": two} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, _, _, err := ring.Open(sealed); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// sampleMessages has one message of each kind, sent by e1.
func sampleMessages() []any {
	vm := simVM(1)
	vm.Incarnation = 3
	return []any{
		&bfwire.Heartbeat{Membership: bfmember.Heartbeat{VM: bfmember.Describe(vm), Sequence: 1}},
		&bfwire.Changes{From: "e1", Incarnation: 3},
		&bfwire.Pull{From: "e1", Pages: 1},
		&bfwire.Page{From: "e1"},
		&bfslot.Request{From: "e1", To: "e0", Incarnation: 3, Sequence: 1},
		&bfslot.Grant{From: "e1", To: "e0", Incarnation: 3, Sequence: 1},
	}
}
