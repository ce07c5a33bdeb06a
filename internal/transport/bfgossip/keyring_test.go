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

// TestKeyring guards against datagrams that are accepted although their key, system,
// sender or content differs, and against a key rotation that loses datagrams.
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

func newSealedNode(t testing.TB, i int, ring *Keyring) (*Node, *UDPNetwork) {
	t.Helper()
	vm := simVM(i)
	vm.Gossip, vm.Incarnation = freeAddresses(t, 1)[0], uint64(time.Now().UnixMicro())
	g := &UDPNetwork{Listen: vm.Gossip, Log: zerolog.Nop()}
	n := &Node{
		Members: bfmember.NewMembers(vm, nil), Table: &bfbackend.Table{Origin: vm.Name}, Network: g,
		Keys: func() *Keyring { return ring },
	}
	g.Receive = n.Receive
	return n, g
}

// TestUnauthenticDatagramsAreDropped guards against datagrams over real sockets that are
// accepted without a tag, with a tag that was created without a key, with another key or for
// another system (the addresses of two systems may overlap), or with a message whose sender
// is not the one in the sealed header. It also guards against datagrams of an earlier process
// of a VM that are accepted after its restart.
func TestUnauthenticDatagramsAreDropped(t *testing.T) {
	ring := NewKeyring("north", testKey(1))
	node, network := newSealedNode(t, 0, ring)
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
	rejected := [][]byte{
		plain,
		NewKeyring("south", testKey(1)).Seal(vm.Name, 5, plain),
		NewKeyring("north", testKey(2)).Seal(vm.Name, 5, plain),
		NewKeyring("north").Seal(vm.Name, 5, plain),
		ring.Seal("e2", 5, plain),
		ring.Seal(vm.Name, 6, plain),
	}
	before := counters.unauthentic.Value()
	for _, data := range rejected {
		if _, err := conn.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	if !eventually(5*time.Second, func() bool { return counters.unauthentic.Value() == before+int64(len(rejected)) }) {
		t.Fatalf("%d of %d unauthentic datagrams were counted", counters.unauthentic.Value()-before, len(rejected))
	}
	if peers := node.Members.Peers(); len(peers) != 0 {
		t.Errorf("unauthentic datagrams added peers: %+v", peers)
	}
	if _, err := conn.Write(ring.Seal(vm.Name, 5, plain)); err != nil {
		t.Fatal(err)
	}
	if !eventually(5*time.Second, func() bool { return len(node.Members.Peers()) == 1 }) {
		t.Error("the authentic datagram was not accepted")
	}
	// Messages of an earlier process of the VM are dropped.
	pull, err := bfwire.Encode(&bfwire.Pull{From: vm.Name, Pages: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := node.open(ring.Seal(vm.Name, 4, pull)); ok {
		t.Error("a datagram of an earlier process was accepted")
	}
	if _, ok := node.open(ring.Seal(vm.Name, 5, pull)); !ok {
		t.Error("a datagram of the running process was dropped")
	}
}

// TestSenderOfEachMessageKind guards against kinds of messages whose sender is not checked.
func TestSenderOfEachMessageKind(t *testing.T) {
	var sent []any
	node, _ := newSealedNode(t, 0, NewKeyring("north"))
	node.Network = recordNetwork{func(data []byte) {
		m, ok := node.open(data)
		if !ok {
			t.Errorf("the node's own datagram %v was dropped", data)
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

// FuzzOpen guards against datagrams that make Open panic, and against those that it
// accepts without a valid tag.
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
			t.Errorf("%x was accepted, but no key produces it", data)
		}
	})
}

// BenchmarkTag measures the cost of sealing and opening a datagram.
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
