package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	soakHeartbeatInterval = 500 * time.Millisecond
	soakDrainLimit        = 2500 * time.Millisecond
	soakControlTimeout    = time.Second
	soakSlots             = 6
)

type (
	// requestLog records which requests ran and which ones were refused, and reports
	// violations.
	requestLog struct {
		t  *testing.T
		mu sync.Mutex
		// runs counts the executions of each request ID, atMostOnce marks requests that must
		// not run twice, and refused has the status code of refusals.
		runs       map[string]int
		atMostOnce map[string]bool
		refused    map[string]int
	}

	// soakBackend emulates a backend server that uses the platform's protocol.
	soakBackend struct {
		requests       *requestLog
		id             string
		service        string
		domain         int
		address        string
		startedAt      int64
		server         *http.Server
		dropNextAnswer atomic.Bool
		// leaving makes all answers say that the server leaves, and wantsPause makes it turn
		// the next request away with a pause.
		leaving, wantsPause atomic.Bool
		checkEvacuation     func(b *soakBackend, id string)
		inFlight            atomic.Int64
		sequence            int
		// drainConfirmedAt is when a control VM confirmed the draining state, in Unix
		// nanoseconds, or 0.
		drainConfirmedAt atomic.Int64
		undisturbed      func(since time.Duration) bool
	}

	// heartbeat is the body of a heartbeat in the platform's protocol.
	heartbeat struct {
		Service       string  `json:"service"`
		Address       string  `json:"address"`
		Zone          string  `json:"zone"`
		Version       string  `json:"version"`
		Slots         int     `json:"slots"`
		State         string  `json:"state"`
		ColdRemaining float64 `json:"coldRemainingS"`
		Sequence      int     `json:"seq"`
		StartedAt     int64   `json:"born"`
	}
)

func newRequestLog(t *testing.T) *requestLog {
	return &requestLog{t: t, runs: map[string]int{}, atMostOnce: map[string]bool{}, refused: map[string]int{}}
}

func (l *requestLog) addSent(id string, atMostOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atMostOnce[id] = atMostOnce
}

func (l *requestLog) addRun(id, backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if _, known := l.atMostOnce[id]; !known {
		l.t.Errorf("%s ran request %q, which nobody sent", backend, id)
	}
	if l.atMostOnce[id] && l.runs[id] > 1 {
		l.t.Errorf("%s ran request %s, which may run only once, for the %dth time", backend, id, l.runs[id])
	}
	l.checkRefusal(id)
}

// addRefusal records that the caller was told that the request didn't run and never will.
func (l *requestLog) addRefusal(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = status
	l.checkRefusal(id)
}

func (l *requestLog) checkRefusal(id string) {
	if l.atMostOnce[id] && l.refused[id] != 0 && l.runs[id] > 0 {
		l.t.Errorf("request %s was refused with status %d, but ran", id, l.refused[id])
	}
}

// startBackend starts a backend server on a free loopback port. It crashes when ctx ends.
func startBackend(ctx context.Context, b *soakBackend) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address, b.startedAt = ln.Addr().String(), time.Now().UnixMilli()
	b.server = &http.Server{Handler: b, ConnContext: withConnNotices}
	go func() { _ = b.server.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = b.server.Close() })
	return nil
}

// ServeHTTP runs a request.
func (b *soakBackend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Briarferry-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Briarferry-Request-Id")
	h.Set("X-Briarferry-Request-Id", id)
	h.Set("X-Briarferry-Server-Load", fmt.Sprintf("%d,0,%d", b.inFlight.Load(), soakSlots))
	if want := r.Header.Get("X-Briarferry-Expected-Instance"); want != "" && want != b.id {
		h.Set("X-Briarferry-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.checkNotices(r.Context(), id)
	if b.sendNotices(r.Context(), h) {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.requests.addRun(id, b.id)
	b.checkDrain(id)
	b.checkEvacuation(b, id)
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	select {
	case <-time.After(10*time.Millisecond + rand.N(40*time.Millisecond)):
	case <-r.Context().Done():
		return
	}
	if b.dropNextAnswer.CompareAndSwap(true, false) {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Briarferry-Server-Signature", "sig-"+id)
	_, _ = fmt.Fprintf(rw, "%s %s %s", id, r.URL.Path, body)
}

// checkDrain checks that no request arrives later than soakDrainLimit after the drain was
// confirmed, with soakDeliveryTime as an allowance. This is guaranteed only if the last fault
// ended more than soakContactLimit before the confirmation.
func (b *soakBackend) checkDrain(id string) {
	at := b.drainConfirmedAt.Load()
	if at == 0 {
		return
	}
	if late := time.Since(time.Unix(0, at)); late > soakDrainLimit+soakDeliveryTime && b.undisturbed(late+soakContactLimit) {
		b.requests.t.Errorf("%s got request %s %s after its drain was confirmed", b.id, id, late)
	}
}

// sendHeartbeat sends a heartbeat to control VMs in random order until one answers, and
// reports whether it was accepted.
func (b *soakBackend) sendHeartbeat(ctx context.Context, controls []*soakVM, state string) bool {
	b.sequence++
	data, _ := json.Marshal(heartbeat{
		Service: b.service, Address: b.address, Zone: soakFailureDomains[b.domain], Version: "v1", Slots: soakSlots, State: state, Sequence: b.sequence, StartedAt: b.startedAt,
	})
	return callControls(ctx, controls, http.MethodPut, "/api/instances/"+b.id, nil, data) == http.StatusOK
}

// callControls calls control VMs in random order until one answers with a status code below
// 500, and returns that code, or 0.
func callControls(ctx context.Context, controls []*soakVM, method, path string, header http.Header, body []byte) int {
	for _, i := range rand.Perm(len(controls)) {
		if status, _ := callControl(ctx, controls[i], method, path, header, body); status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	return 0
}

// callControl calls one control VM over a new connection. It returns status code 0 if there
// was no complete answer.
func callControl(ctx context.Context, v *soakVM, method, path string, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, soakControlTimeout)
	defer cancel()
	port := soakControlPort
	if strings.HasPrefix(path, "/api/resolve") {
		port = soakDirectoryPort
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", v.address, port, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// replaceBackends runs one backend server after another until ctx ends. Each of them
// crashes or drains after a random time.
func (s *soak) replaceBackends(ctx context.Context, service string, domain int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		backendCtx, crash := context.WithCancel(ctx)
		b := &soakBackend{requests: s.requests, id: fmt.Sprintf("i-%s-%d-%d", service, domain, n), service: service, domain: domain, undisturbed: s.undisturbed, checkEvacuation: s.checkEvacuation}
		if err := startBackend(backendCtx, b); err != nil {
			s.t.Error(err)
			crash()
			return
		}
		s.runBackend(backendCtx, b, r, time.Now().Add(4*time.Second+time.Duration(r.Int64N(int64(8*time.Second)))))
		crash()
	}
}

// leaveByAnswers lets the server say in its answers that it leaves. Its heartbeats don't.
func (s *soak) leaveByAnswers(ctx context.Context, b *soakBackend) {
	b.leaving.Store(true)
	for end := time.Now().Add(soakLeaveTime); time.Now().Before(end) && ctx.Err() == nil; {
		b.sendHeartbeat(ctx, s.controls, "ready")
		s.pause(ctx, soakHeartbeatInterval)
	}
}

// runBackend sends heartbeats until end; once the last fault is over, it continues until ctx
// ends. At end, half of the backend servers drain and unregister; the others crash.
func (s *soak) runBackend(ctx context.Context, b *soakBackend, r *rand.Rand, end time.Time) {
	drains := r.IntN(2) == 0
	for time.Now().Before(end) || s.faultsOver.Load() {
		b.sendHeartbeat(ctx, s.controls, "ready")
		if r.IntN(8) == 0 && !s.faultsOver.Load() {
			b.dropNextAnswer.Store(true)
		}
		if r.IntN(12) == 0 && !s.faultsOver.Load() {
			b.wantsPause.Store(true)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(soakHeartbeatInterval):
		}
	}
	if r.IntN(3) == 0 {
		s.leaveByAnswers(ctx, b)
	}
	if !drains {
		return
	}
	for ctx.Err() == nil && !b.sendHeartbeat(ctx, s.controls, "draining") {
		time.Sleep(soakHeartbeatInterval)
	}
	b.drainConfirmedAt.Store(time.Now().UnixNano())
	select {
	case <-ctx.Done():
	case <-time.After(soakDrainLimit + 2*time.Second):
		callControls(ctx, s.controls, http.MethodDelete, "/api/instances/"+b.id, nil, nil)
	}
}
