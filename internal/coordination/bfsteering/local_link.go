package bfsteering

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// pathWindow is how long a connection that timed out counts.
	pathWindow = time.Second
	// pathShare is the share of the failure domains beyond which connections that time
	// out tell of this entry's own link.
	pathShare = 0.5
)

// ownPath tells whether connections time out since this entry's own link is congested or
// cut. Servers aren't to blame then: leaving them all out would move every key to
// another server.
type ownPath struct {
	mu      sync.Mutex
	domain  string
	domains int
	log     zerolog.Logger
	timeout map[string]time.Time
	blocked bool
}

func (p *ownPath) configure(domain string, domains int, log zerolog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domain, p.domains, p.log = domain, domains, log
}

// timedOut notes a connection to a server of the failure domain that was not made in
// time. It returns true where the own link is the likely cause: servers next to this
// entry and in most failure domains can't be reached at the same time.
func (p *ownPath) timedOut(now time.Time, domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timeout == nil {
		p.timeout = map[string]time.Time{}
	}
	p.timeout[domain] = now
	recent := 0
	for _, at := range p.timeout {
		if now.Sub(at) <= pathWindow {
			recent++
		}
	}
	own, known := p.timeout[p.domain]
	blocked := known && now.Sub(own) <= pathWindow && float64(recent) > pathShare*float64(p.domains)
	if blocked != p.blocked {
		p.blocked = blocked
		p.log.Warn().Bool("blocked", blocked).Int("domains_timed_out", recent).Int("domains", p.domains).Msg("own link changed")
	}
	return blocked
}
