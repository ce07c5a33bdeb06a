package bfapi

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"briarferry"
)

type (
	// LookupReply is the answer to a look-up request.
	LookupReply struct {
		Service string `json:"service"`
		// Entries is sorted by preference, best first.
		Entries       []LookupEntry `json:"entries"`
		TTLSeconds    int           `json:"ttl_seconds"`
		ConfigVersion uint64        `json:"config_version"`
	}

	// LookupEntry is an entry that the caller may use.
	LookupEntry struct {
		Address       netip.AddrPort `json:"address"`
		Region        string         `json:"region"`
		FailureDomain string         `json:"failure_domain"`
		Weight        int            `json:"weight"`
	}

	// AnnouncementReply gives a backend server the duration of its lease and the
	// addresses of the other entries.
	AnnouncementReply struct {
		LeaseSeconds float64          `json:"lease_seconds"`
		Entries      []netip.AddrPort `json:"entries"`
	}
)

// LookupClient returns the client address that a look-up is for. A trusted resolver may
// look up entries for an address other than its own.
func LookupClient(r *http.Request, trusted []netip.Prefix) (netip.Addr, error) {
	own := CallerAddr(r)
	text := r.URL.Query().Get(ParamClient)
	if text == "" || !containsAddr(trusted, own) {
		return own, nil
	}
	client, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, briarferry.Findings{{Place: ParamClient, Message: "must be an IP address"}}
	}
	return client.Unmap(), nil
}

func containsAddr(prefixes []netip.Prefix, a netip.Addr) bool {
	for _, p := range prefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// WriteLookup writes the answer to a look-up, with ttl as its cache lifetime.
func WriteLookup(w http.ResponseWriter, l LookupReply, ttl time.Duration) {
	l.TTLSeconds = int(ttl.Seconds())
	w.Header().Set(HeaderCacheControl, fmt.Sprintf("max-age=%d", l.TTLSeconds))
	WriteJSON(w, http.StatusOK, l)
}
