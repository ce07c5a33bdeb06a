package bfapi

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"briarferry"
)

// callerPrefixBits is the length of the prefix that identifies an IPv6 caller, which may use
// any address of its subnet.
const callerPrefixBits = 64

// CallerIdentity is what distinguishes the callers of equal requests. A caller that sends a
// request again has the same identity at every entry, so it has no port.
type CallerIdentity struct {
	Address      netip.Addr
	Organisation string
	AffinityKey  string
}

// Fingerprint returns the fingerprint of a caller's request, whose content is the body and the
// other parts.
func Fingerprint(c CallerIdentity, body []byte, parts ...string) uint64 {
	d := xxhash.New()
	writeParts(d, parts...)
	_, _ = d.Write(body)
	content := d.Sum64()
	writeParts(d, c.network().String(), c.Organisation, c.AffinityKey)
	return briarferry.NewFingerprint(content, d.Sum64())
}

func (c CallerIdentity) network() netip.Addr {
	if !c.Address.Is6() || c.Address.Is4In6() {
		return c.Address.Unmap()
	}
	return netip.PrefixFrom(c.Address, callerPrefixBits).Masked().Addr()
}

// writeParts writes each part with a separator.
func writeParts(d *xxhash.Digest, parts ...string) {
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
}
