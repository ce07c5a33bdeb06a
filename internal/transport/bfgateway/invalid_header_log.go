package bfgateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// invalidHeaderInterval is the shortest interval between two log lines about the same
	// kind of header.
	invalidHeaderInterval = 10 * time.Second
	// maxLoggedHeader is the number of bytes of an invalid header that are logged.
	maxLoggedHeader = 64
)

// invalidHeaderLog logs invalid headers of one kind, in answers of backend servers, at a
// bounded rate.
type invalidHeaderLog struct {
	log zerolog.Logger
	// message is that of the log lines.
	message string

	mu       sync.Mutex
	loggedAt time.Time
	skipped  int
}

func (l *invalidHeaderLog) report(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < invalidHeaderInterval {
		l.skipped++
		return
	}
	l.log.Warn().Str("report", text[:min(len(text), maxLoggedHeader)]).Int("skipped", l.skipped).Msg(l.message)
	l.loggedAt, l.skipped = now, 0
}
