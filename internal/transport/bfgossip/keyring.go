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
	// sealedVersion is the first byte of each sealed datagram. It differs from all
	// message kinds of bfwire, so that sealed and unsealed datagrams can't be confused.
	sealedVersion byte = 0xb1
	// tagBytes is half the length of HMAC-SHA256, the minimum that RFC 2104 recommends.
	tagBytes = sha256.Size / 2
	// sealedHeaderBytes is the length of the header without the name: the version, the
	// length of the name and the incarnation.
	sealedHeaderBytes  = 1 + 1 + 8
	maxNameBytes       = 255
	keyDerivationLabel = "briarferry gossip 1\x00"
	maxSealOverhead    = sealedHeaderBytes + maxNameBytes + tagBytes
)

var errUnauthentic = eris.New("bfgossip: datagram without a valid tag")

type (
	// Keyring authenticates datagrams with HMAC tags. The first key creates the tags; a
	// tag of any key is valid.
	Keyring struct {
		keys []*keyedHash
	}

	// keyedHash is a pool of HMAC states that were initialized with one key.
	keyedHash struct{ pool sync.Pool }
)

// NewKeyring returns a keyring for a system. Without keys, the tags distinguish the
// datagrams of different systems but don't authenticate the sender.
func NewKeyring(system string, keys ...[]byte) *Keyring {
	if len(keys) == 0 {
		keys = [][]byte{nil}
	}
	r := &Keyring{}
	for _, key := range keys {
		// The key is derived from the system's name as well, so that the tags of two
		// systems differ even if they have the same key.
		mac := hmac.New(sha256.New, key)
		mac.Write([]byte(keyDerivationLabel + system))
		derived := mac.Sum(nil)
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

// Seal returns a datagram with the sender's name and incarnation, the message and a tag.
func (r *Keyring) Seal(name string, incarnation uint64, message []byte) []byte {
	out := make([]byte, 0, sealedHeaderBytes+len(name)+len(message)+sha256.Size)
	out = append(out, sealedVersion, byte(len(name)))
	out = append(out, name...)
	out = binary.BigEndian.AppendUint64(out, incarnation)
	out = append(out, message...)
	return r.keys[0].tag(out, out)
}

// Open checks the tag of a datagram and returns the sender and the message. The message
// shares its memory with the datagram.
func (r *Keyring) Open(data []byte) (name string, incarnation uint64, message []byte, err error) {
	if len(data) < sealedHeaderBytes+tagBytes || len(data) > bfwire.MaxDatagramBytes+maxSealOverhead || data[0] != sealedVersion {
		return "", 0, nil, errUnauthentic
	}
	body, tag := data[:len(data)-tagBytes], data[len(data)-tagBytes:]
	if !r.hasValidTag(body, tag) {
		return "", 0, nil, errUnauthentic
	}
	n := int(body[1])
	if len(body) < sealedHeaderBytes+n {
		return "", 0, nil, errUnauthentic
	}
	name = string(body[2 : 2+n])
	return name, binary.BigEndian.Uint64(body[2+n:]), body[sealedHeaderBytes+n:], nil
}

func (r *Keyring) hasValidTag(body, tag []byte) bool {
	var buf [sha256.Size]byte
	for _, key := range r.keys {
		if hmac.Equal(key.tag(buf[:0], body), tag) {
			return true
		}
	}
	return false
}

// senderOf returns the sender that a message names. The incarnation is 0 if the message
// has none.
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

// seal returns the datagram for an encoded message, sealed if Keys is set.
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

// open decodes a datagram and checks its sender. It returns false if the datagram must be
// dropped.
func (n *Node) open(data []byte) (any, bool) {
	var sender briarferry.VM
	if n.Keys != nil {
		var err error
		if sender.Name, sender.Incarnation, data, err = n.Keys().Open(data); err != nil {
			counters.unauthentic.Add(1)
			return nil, false
		}
	}
	m, err := bfwire.Decode(data)
	if err != nil {
		counters.invalid.Add(1)
		return nil, false
	}
	if n.Keys != nil && !n.isSentBy(sender, m) {
		counters.unauthentic.Add(1)
		return nil, false
	}
	return m, true
}

// isSentBy reports whether the sender that a message names is the VM that sealed the
// datagram, and the datagram is not from an earlier process of that VM.
func (n *Node) isSentBy(sender briarferry.VM, m any) bool {
	name, incarnation := senderOf(m)
	if name != sender.Name || incarnation != 0 && incarnation != sender.Incarnation {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	return p == nil || sender.Incarnation >= p.incarnation
}
