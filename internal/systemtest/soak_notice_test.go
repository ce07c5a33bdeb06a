package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// soakLeaveLimit is the time after which an entry sends nothing to a server whose answer
	// said that it leaves, and soakPauseMargin that for a server that asked for a pause.
	soakLeaveLimit  = 2500 * time.Millisecond
	soakPauseMargin = 500 * time.Millisecond
	// soakPause is the pause that servers ask for, and soakPauseRequests the number of
	// requests that may reach them in it.
	soakPause         = 2 * time.Second
	soakPauseRequests = 2
	// soakEvacuateLimit is the time within which a confirmed evacuation is in force.
	soakEvacuateLimit = 5 * time.Second
	// soakLeaveTime is how long a server that leaves goes on.
	soakLeaveTime = 5 * time.Second
)

// connNotices is what a backend server has said on one connection, which belongs to one
// entry.
type connNotices struct {
	mu        sync.Mutex
	leavingAt time.Time
	pausedAt  time.Time
	inPause   int
}

type connNoticesKey struct{}

func withConnNotices(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNoticesKey{}, &connNotices{})
}

// checkNotices checks that the request may still come on its connection. This is guaranteed
// only if no fault disturbed the entry since the notice.
func (b *soakBackend) checkNotices(ctx context.Context, id string) {
	n := ctx.Value(connNoticesKey{}).(*connNotices)
	n.mu.Lock()
	defer n.mu.Unlock()
	if late := time.Since(n.leavingAt); !n.leavingAt.IsZero() && late > soakLeaveLimit+soakDeliveryTime && b.undisturbed(late) {
		b.requests.t.Errorf("%s got request %s %s after it said on this connection that it leaves", b.id, id, late)
	}
	since := time.Since(n.pausedAt)
	if n.pausedAt.IsZero() || since < soakPauseMargin || since > soakPause {
		return
	}
	if n.inPause++; n.inPause > soakPauseRequests && b.undisturbed(since) {
		b.requests.t.Errorf("%s got request %s, the %dth in the pause that it asked for %s before", b.id, id, n.inPause, since)
	}
}

// sendNotices sets the headers of an answer and reports whether the server turns the request
// away to get a pause.
func (b *soakBackend) sendNotices(ctx context.Context, h http.Header) (pause bool) {
	n := ctx.Value(connNoticesKey{}).(*connNotices)
	n.mu.Lock()
	defer n.mu.Unlock()
	if b.leaving.Load() {
		h.Set("Server-Leaving", "1")
		if n.leavingAt.IsZero() {
			n.leavingAt = time.Now()
		}
	}
	if !b.wantsPause.CompareAndSwap(true, false) {
		return false
	}
	h.Set("X-Briarferry-Not-Executed", "1")
	h.Set("Retry-After", fmt.Sprint(soakPause.Seconds()))
	n.pausedAt, n.inPause = time.Now(), 0
	return true
}

// evacuations evacuates failure domains one after the other, withdraws that and orders it
// again, until ctx ends. The last evacuation stays.
func (s *soak) evacuations(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		domain := r.IntN(len(soakFailureDomains))
		for range 1 + r.IntN(3) {
			s.evacuate(ctx, domain)
			s.pause(ctx, time.Duration(r.Int64N(int64(4*time.Second))))
			if ctx.Err() != nil {
				return
			}
			s.withdraw(ctx, domain)
		}
		s.pause(ctx, time.Duration(r.Int64N(int64(time.Second))))
	}
}

func (s *soak) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// evacuate orders the evacuation until it is confirmed.
func (s *soak) evacuate(ctx context.Context, domain int) {
	for ctx.Err() == nil {
		if callControls(ctx, s.controls, http.MethodPost, "/api/evacuate/"+soakFailureDomains[domain], nil, nil) == http.StatusOK {
			s.evacuatedAt[domain].Store(time.Now().UnixNano())
			return
		}
	}
}

// withdraw orders the withdrawal until it is confirmed. From the first order on requests may
// reach the failure domain.
func (s *soak) withdraw(ctx context.Context, domain int) {
	s.evacuatedAt[domain].Store(0)
	for ctx.Err() == nil {
		if callControls(ctx, s.controls, http.MethodDelete, "/api/evacuate/"+soakFailureDomains[domain], nil, nil) == http.StatusOK {
			return
		}
	}
}

// watchEvacuation withdraws an evacuation at a control VM that is frozen, and at another one
// when the first doesn't answer, and orders it again. It goes on, without faults and orders,
// until the evacuation must be in force. A withdrawal that takes effect late shows then.
func (s *soak) watchEvacuation(ctx context.Context) {
	s.evacuate(ctx, 0)
	frozen := s.controls[rand.IntN(len(s.controls))]
	frozen.signal(syscall.SIGSTOP, false)
	s.evacuatedAt[0].Store(0)
	callControl(ctx, frozen, http.MethodDelete, "/api/evacuate/"+soakFailureDomains[0], nil, nil)
	s.withdraw(ctx, 0)
	s.evacuate(ctx, 0)
	frozen.signal(syscall.SIGCONT, false)
	s.pause(ctx, soakContactLimit+soakEvacuateLimit+2*soakDeliveryTime)
}

// checkEvacuation checks that no request reaches a server of an evacuated failure domain
// later than soakEvacuateLimit after the confirmation, unless a fault came since.
func (s *soak) checkEvacuation(b *soakBackend, id string) {
	at := s.evacuatedAt[b.domain].Load()
	if at == 0 {
		return
	}
	if late := time.Since(time.Unix(0, at)); late > soakEvacuateLimit+soakDeliveryTime && s.undisturbed(soakContactLimit+soakEvacuateLimit) {
		s.t.Errorf("%s got request %s %s after the evacuation of %s was confirmed", b.id, id, late, soakFailureDomains[b.domain])
	}
}
