package bfgossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"sync"

	"github.com/rotisserie/eris"

	"briarferry"
	"briarferry/internal/coordination/bfslot"
	"briarferry/internal/protocol/bfwire"
)

const (
	// sealedVersion starts each sealed datagram; it is no kind of bfwire, so that
	// sealed and unsealed datagrams are never taken for each other.
	sealedVersion byte = 0xb1
	// tagBytes is half of HMAC-SHA256, the least that RFC 2104 advises.
	tagBytes = sha256.Size / 2
	// sealedHead is the version, the length of the name and the incarnation.
	sealedHead  = 1 + 1 + 8
	maxName     = 255
	keyringUse  = "briarferry gossip 1\x00"
	sealedExtra = sealedHead + maxName + tagBytes
)

var errUnauthentic = eris.New("bfgossip: datagram without a valid tag")

type (
	// Keyring signs datagrams and checks their tags. The first key signs, all verify.
	Keyring struct {
		keys []*keyedHash
	}

	// keyedHash keeps hashes that have taken in the key.
	keyedHash struct{ pool sync.Pool }
)

// NewKeyring returns a keyring of a system. Without keys its tags tell systems from
// each other, but prove nothing about the sender.
func NewKeyring(system string, keys ...[]byte) *Keyring {
	if len(keys) == 0 {
		keys = [][]byte{nil}
	}
	r := &Keyring{}
	for _, key := range keys {
		// The system is part of the derived key and thereby of every tag.
		derive := hmac.New(sha256.New, key)
		derive.Write([]byte(keyringUse + system))
		derived := derive.Sum(nil)
		r.keys = append(r.keys, &keyedHash{pool: sync.Pool{New: func() any { return hmac.New(sha256.New, derived) }}})
	}
	return r
}

func (k *keyedHash) tag(out []byte, data []byte) []byte {
	h := k.pool.Get().(hash.Hash)
	defer k.pool.Put(h)
	h.Reset()
	h.Write(data)
	return h.Sum(out)[:len(out)+tagBytes]
}

// Seal returns the datagram for a message of the sender.
func (r *Keyring) Seal(name string, incarnation uint64, message []byte) []byte {
	out := make([]byte, 0, sealedHead+len(name)+len(message)+sha256.Size)
	out = append(out, sealedVersion, byte(len(name)))
	out = append(out, name...)
	out = binary.BigEndian.AppendUint64(out, incarnation)
	out = append(out, message...)
	return r.keys[0].tag(out, out)
}

// Open returns the sender and the message of a datagram with a valid tag. The
// message is a part of the datagram.
func (r *Keyring) Open(data []byte) (name string, incarnation uint64, message []byte, err error) {
	if len(data) < sealedHead+tagBytes || len(data) > bfwire.MaxDatagramBytes+sealedExtra || data[0] != sealedVersion {
		return "", 0, nil, errUnauthentic
	}
	body, tag := data[:len(data)-tagBytes], data[len(data)-tagBytes:]
	if !r.verifies(body, tag) {
		return "", 0, nil, errUnauthentic
	}
	n := int(body[1])
	if len(body) < sealedHead+n {
		return "", 0, nil, errUnauthentic
	}
	name = string(body[2 : 2+n])
	return name, binary.BigEndian.Uint64(body[2+n:]), body[sealedHead+n:], nil
}

func (r *Keyring) verifies(body, tag []byte) bool {
	var room [sha256.Size]byte
	for _, key := range r.keys {
		if hmac.Equal(key.tag(room[:0], body), tag) {
			return true
		}
	}
	return false
}

// senderOf returns who sent a message, as the message itself tells; the incarnation
// is 0 where it doesn't.
func senderOf(m any) (name string, incarnation uint64) {
	switch m := m.(type) {
	case *bfwire.Heartbeat:
		return m.Membership.VM.Name, m.Membership.VM.Incarnation
	case *bfwire.Changes:
		return m.From, m.Incarnation
	case *bfwire.Pull:
		return m.From, 0
	case *bfwire.Page:
		return m.From, 0
	case *bfslot.Request:
		return m.From, m.Incarnation
	case *bfslot.Grant:
		return m.From, m.Incarnation
	}
	return "", 0
}

// seal returns the datagram for an encoded message.
func (n *Node) seal(m any, data []byte) []byte {
	if n.Keys == nil {
		return data
	}
	name, incarnation := senderOf(m)
	if incarnation == 0 {
		incarnation = n.Members.Self().Incarnation
	}
	return n.Keys().Seal(name, incarnation, data)
}

// open returns the message of a datagram, or false where it is to be dropped.
func (n *Node) open(data []byte) (any, bool) {
	var sealed briarferry.VM
	if n.Keys != nil {
		var err error
		if sealed.Name, sealed.Incarnation, data, err = n.Keys().Open(data); err != nil {
			counters.unauthentic.Add(1)
			return nil, false
		}
	}
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.invalid.Add(1)
		return nil, false
	}
	if n.Keys != nil && !n.sentBy(sealed, m) {
		counters.unauthentic.Add(1)
		return nil, false
	}
	return m, true
}

// sentBy tells whether a message comes from the VM that sealed it, and not from an
// earlier process of that VM.
func (n *Node) sentBy(sealed briarferry.VM, m any) bool {
	name, incarnation := senderOf(m)
	if name != sealed.Name || incarnation != 0 && incarnation != sealed.Incarnation {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	return p == nil || sealed.Incarnation >= p.incarnation
}
