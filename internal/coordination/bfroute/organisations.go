package bfroute

import (
	"encoding/binary"

	"briarferry"
)

type (
	// organisations finds an organisation by its key. The digests are found by their first
	// bytes and then compared as a whole, in a time that doesn't depend on them.
	organisations struct {
		salt     []byte
		byPrefix map[uint64][]keyOwner
	}

	keyOwner struct {
		digest briarferry.KeyDigest
		owner  *briarferry.Organisation
	}
)

func digestPrefix(d briarferry.KeyDigest) uint64 { return binary.BigEndian.Uint64(d[:]) }

func newOrganisations(t *briarferry.RouteTable) *organisations {
	if len(t.Organisations) == 0 {
		return nil
	}
	o := &organisations{salt: t.KeySalt, byPrefix: map[uint64][]keyOwner{}}
	for i := range t.Organisations {
		for _, d := range t.Organisations[i].Keys {
			o.byPrefix[digestPrefix(d)] = append(o.byPrefix[digestPrefix(d)], keyOwner{d, &t.Organisations[i]})
		}
	}
	return o
}

func (o *organisations) find(key string) *briarferry.Organisation {
	digest := briarferry.DigestKey(o.salt, key)
	for _, k := range o.byPrefix[digestPrefix(digest)] {
		if k.digest.Equal(digest) {
			return k.owner
		}
	}
	return nil
}

// Organisation returns the organisation that has the key, or nil.
func (t *Table) Organisation(key string) *briarferry.Organisation {
	if t.organisations == nil || key == "" {
		return nil
	}
	return t.organisations.find(key)
}

// NeedsKey reports whether requests on the route need the key of an organisation.
func (t *Table) NeedsKey(r *Route) bool { return t.organisations != nil && !r.Open }
