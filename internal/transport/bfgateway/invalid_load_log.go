package bfgateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// invalidLoadInterval is the shortest interval between two log lines about invalid load
	// reports.
	invalidLoadInterval = 10 * time.Second
	// maxLoggedLoad is the number of bytes of an invalid load report that are logged.
	maxLoggedLoad = 64
)

// invalidLoadLog logs invalid load reports of backend servers at a bounded rate.
type invalidLoadLog struct {
	log zerolog.Logger

	mu       sync.Mutex
	loggedAt time.Time
	skipped  int
}

func (l *invalidLoadLog) report(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < invalidLoadInterval {
		l.skipped++
		return
	}
	l.log.Warn().Str("report", text[:min(len(text), maxLoggedLoad)]).Int("skipped", l.skipped).Msg("invalid load report of a backend server ignored")
	l.loggedAt, l.skipped = now, 0
}
