package bfsteering

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// connectTimeoutWindow is how long a connection timeout is taken into account.
	connectTimeoutWindow = time.Second
	// congestedDomainShare is the share of the failure domains above which connection
	// timeouts are attributed to the local link.
	congestedDomainShare = 0.5
)

// localLink detects connection timeouts that are caused by congestion or a failure of the
// local link. The servers must not be ejected then: ejecting all of them would move
// every key to another server.
type localLink struct {
	mu          sync.Mutex
	domain      string
	domains     int
	log         zerolog.Logger
	lastTimeout map[string]time.Time
	congested   bool
}

func (l *localLink) configure(domain string, domains int, log zerolog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domain, l.domains, l.log = domain, domains, log
}

// connectTimedOut records a connection timeout to a server in the failure domain. It
// reports whether the local link is the likely cause. That is the case if connections to
// the local failure domain and to most failure domains timed out within
// connectTimeoutWindow.
func (l *localLink) connectTimedOut(now time.Time, domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastTimeout == nil {
		l.lastTimeout = map[string]time.Time{}
	}
	l.lastTimeout[domain] = now
	recent := 0
	for _, at := range l.lastTimeout {
		if now.Sub(at) <= connectTimeoutWindow {
			recent++
		}
	}
	own, known := l.lastTimeout[l.domain]
	congested := known && now.Sub(own) <= connectTimeoutWindow && float64(recent) > congestedDomainShare*float64(l.domains)
	if congested != l.congested {
		l.congested = congested
		l.log.Warn().Bool("blocked", congested).Int("domains_timed_out", recent).Int("domains", l.domains).Msg("local link congestion state changed")
	}
	return congested
}
