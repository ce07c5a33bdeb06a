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
	// lookups caches the answers to look-ups for their time to live.
	lookups struct {
		seeds  []netip.AddrPort
		client bftls.Caller

		mu    sync.Mutex
		cache map[string]cachedLookup
	}

	cachedLookup struct {
		entries []bfapi.LookupEntry
		until   time.Time
	}
)

func (l *lookups) get(ctx context.Context, service string) ([]bfapi.LookupEntry, error) {
	l.mu.Lock()
	cached, ok := l.cache[service]
	l.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
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
	until := time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	l.cache[service] = cachedLookup{entries: answer.Entries, until: until}
	return answer.Entries, nil
}

// forget drops a cached answer after one of its entries could not be reached.
func (l *lookups) forget(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cache, service)
}

func (l *lookups) fetch(ctx context.Context, service string) (bfapi.Lookup, error) {
	err := fmt.Errorf("bfload: no entry to ask")
	for _, i := range rand.Perm(len(l.seeds)) {
		var answer bfapi.Lookup
		if answer, err = l.ask(ctx, l.seeds[i], service); err == nil {
			return answer, nil
		}
	}
	return bfapi.Lookup{}, err
}

func (l *lookups) ask(ctx context.Context, entry netip.AddrPort, service string) (bfapi.Lookup, error) {
	return Lookup(ctx, l.client, entry, service, netip.Addr{})
}

// Lookup sends one look-up to an entry, for another client where one is given.
func Lookup(ctx context.Context, client bftls.Caller, entry netip.AddrPort, service string, forClient netip.Addr) (bfapi.Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	url := client.URL(entry, bfapi.PathLookup) + "?" + bfapi.ParamService + "=" + service
	if forClient.IsValid() {
		url += "&" + bfapi.ParamClient + "=" + forClient.String()
	}
	var answer bfapi.Lookup
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
