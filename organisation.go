package briarferry

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"math"
	"slices"
)

const (
	// MaxOrganisations is the maximum number of organisations of a route table.
	MaxOrganisations = 5000
	// KeySaltBytes is the size of the salt of a table's key digests.
	KeySaltBytes = 32

	maxOrganisationKeys = 64
	maxQuotaRate        = 10_000_000
)

type (
	// Organisation is a group of callers that identify themselves with keys. Its homes and
	// quota apply to all its requests, on every route.
	Organisation struct {
		Name string `json:"name" cbor:"1,keyasint"`
		// Keys are the digests of the organisation's keys. The keys themselves are not kept.
		Keys []KeyDigest `json:"keys" cbor:"2,keyasint"`
		// Urgency replaces the urgency of the routes; nil keeps theirs.
		Urgency *int `json:"urgency,omitempty" cbor:"3,keyasint,omitempty"`
		// HomeRegions are the only regions whose servers may handle the requests; empty
		// means all regions. Where the route has home regions too, both apply.
		HomeRegions []string `json:"home_regions,omitempty" cbor:"4,keyasint,omitempty"`
		Quota       Quota    `json:"quota" cbor:"5,keyasint"`
	}

	// KeyDigest is the keyed digest (HMAC-SHA-256) of an organisation's key.
	KeyDigest [sha256.Size]byte

	// Quota limits an organisation's requests at all entries together: in any time t, to
	// Rate*t + Burst requests. A Rate of zero means no limit.
	Quota struct {
		// Rate is in requests per second.
		Rate float64 `json:"rate" cbor:"1,keyasint"`
		// Burst is the number of requests that may run at once after a pause.
		Burst float64 `json:"burst" cbor:"2,keyasint"`
	}
)

// NewKeySalt returns a random salt for the key digests of a table.
func NewKeySalt() []byte {
	salt := make([]byte, KeySaltBytes)
	_, _ = rand.Read(salt)
	return salt
}

// DigestKey returns the digest of a key under a table's salt.
func DigestKey(salt []byte, key string) KeyDigest {
	mac := hmac.New(sha256.New, salt)
	_, _ = mac.Write([]byte(key))
	return KeyDigest(mac.Sum(nil))
}

// Equal reports whether two digests are the same, in a time that doesn't depend on them.
func (d KeyDigest) Equal(other KeyDigest) bool {
	return subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// HasHomes reports whether the organisation has home regions. For nil, it has none.
func (o *Organisation) HasHomes() bool { return o != nil && len(o.HomeRegions) > 0 }

// ServesIn reports whether servers in the region may handle the organisation's requests. For
// nil, the requests of anonymous callers, every region may.
func (o *Organisation) ServesIn(region string) bool {
	return !o.HasHomes() || slices.Contains(o.HomeRegions, region)
}

// SharesRegion reports whether the home regions leave a region in which the organisation's
// requests on the route may run.
func (o *Organisation) SharesRegion(r *Route) bool {
	return !o.HasHomes() || len(r.HomeRegions) == 0 || slices.ContainsFunc(o.HomeRegions, r.ServesIn)
}

// UrgencyOn returns the urgency of the organisation's requests on the route.
func (o *Organisation) UrgencyOn(r *Route) int {
	if o == nil || o.Urgency == nil {
		return r.Urgency
	}
	return *o.Urgency
}

// Validate reports every field that is out of range.
func (o *Organisation) Validate() Findings {
	var f Findings
	if !ValidName(o.Name) {
		f.Add("name", "must be a name: %q", o.Name)
	}
	if len(o.Keys) > maxOrganisationKeys {
		f.Add("keys", "must have at most %d entries", maxOrganisationKeys)
	}
	if o.Urgency != nil && *o.Urgency < 0 {
		f.Add("urgency", "must not be negative: %d", *o.Urgency)
	}
	if len(o.HomeRegions) > maxHomeRegions {
		f.Add("home_regions", "must have at most %d entries", maxHomeRegions)
	}
	f.Merge("quota", o.Quota.Validate())
	return f
}

// Validate reports every field that is out of range.
func (q Quota) Validate() Findings {
	var f Findings
	if !(q.Rate >= 0 && q.Rate <= maxQuotaRate) {
		f.Add("rate", "must be between 0 and %d: %v", maxQuotaRate, q.Rate)
	}
	if !(q.Burst >= 0) || math.IsInf(q.Burst, 1) {
		f.Add("burst", "must be a number from 0 on: %v", q.Burst)
	}
	return f
}

// validateOrganisations reports every organisation that is out of range and every key that
// two of them share.
func (t *RouteTable) validateOrganisations(f *Findings) {
	if len(t.Organisations) > MaxOrganisations {
		f.Add("organisations", "must have at most %d entries", MaxOrganisations)
		return
	}
	if len(t.Organisations)+len(t.KeySalt) > 0 && len(t.KeySalt) != KeySaltBytes {
		f.Add("key_salt", "must have %d bytes", KeySaltBytes)
	}
	names, owners := map[string]bool{}, map[KeyDigest]string{}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		place := fmt.Sprintf("organisations[%d]", i)
		f.Merge(place, o.Validate())
		if names[o.Name] {
			f.Add(place+".name", "is the name of another organisation too: %q", o.Name)
		}
		names[o.Name] = true
		for j, key := range o.Keys {
			if owner, used := owners[key]; used {
				f.Add(fmt.Sprintf("%s.keys[%d]", place, j), "is a key of organisation %q too", owner)
				continue
			}
			owners[key] = o.Name
		}
	}
}
