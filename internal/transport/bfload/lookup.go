package bfload

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bftls"
)

const lookupTimeout = time.Second

type (
	// lookupCache caches the answers to look-ups until their TTL expires.
	lookupCache struct {
		entries []netip.AddrPort
		client  bftls.Caller

		mu    sync.Mutex
		cache map[string]cachedLookup
	}

	cachedLookup struct {
		entries   []bfapi.LookupEntry
		expiresAt time.Time
	}
)

// get returns the entries for a service. If the look-up fails, it returns the error and
// the expired entries, if there are any.
func (l *lookupCache) get(ctx context.Context, service string) ([]bfapi.LookupEntry, error) {
	l.mu.Lock()
	cached, ok := l.cache[service]
	l.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.entries, nil
	}
	answer, err := l.fetch(ctx, service)
	if err != nil {
		return cached.entries, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cache == nil {
		l.cache = map[string]cachedLookup{}
	}
	expiresAt := time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	l.cache[service] = cachedLookup{entries: answer.Entries, expiresAt: expiresAt}
	return answer.Entries, nil
}

// invalidate removes the cached answer for a service.
func (l *lookupCache) invalidate(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cache, service)
}

// fetch asks the entries in random order until one answers.
func (l *lookupCache) fetch(ctx context.Context, service string) (bfapi.LookupReply, error) {
	err := fmt.Errorf("bfload: no entry to ask")
	for _, i := range rand.Perm(len(l.entries)) {
		var answer bfapi.LookupReply
		if answer, err = l.fetchFrom(ctx, l.entries[i], service); err == nil {
			return answer, nil
		}
	}
	return bfapi.LookupReply{}, err
}

func (l *lookupCache) fetchFrom(ctx context.Context, entry netip.AddrPort, service string) (bfapi.LookupReply, error) {
	return Lookup(ctx, l.client, entry, service, netip.Addr{})
}

// Lookup sends a look-up to an entry, on behalf of another client if forClient is valid.
func Lookup(ctx context.Context, client bftls.Caller, entry netip.AddrPort, service string, forClient netip.Addr) (bfapi.LookupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := client.URL(entry, bfapi.PathLookup) + "?" + bfapi.ParamService + "=" + service
	if forClient.IsValid() {
		url += "&" + bfapi.ParamClient + "=" + forClient.String()
	}
	var answer bfapi.LookupReply
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, fmt.Errorf("bfload: build look-up: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer, fmt.Errorf("bfload: look up: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("bfload: look up: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("bfload: read look-up: %w", err)
	}
	return answer, nil
}
