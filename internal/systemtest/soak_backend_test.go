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
	soakBeat    = 500 * time.Millisecond
	soakDrain   = 2500 * time.Millisecond
	soakTimeout = time.Second
	soakSlots   = 6
)

type (
	// ledger records what ran and what callers were told.
	ledger struct {
		t  *testing.T
		mu sync.Mutex
		// runs counts the runs of each request; once marks those that run once at most.
		runs    map[string]int
		once    map[string]bool
		refused map[string]int
	}

	// soakWorker is a stand-in backend server that speaks the platform's protocol.
	soakWorker struct {
		ledger  *ledger
		id      string
		service string
		zone    int
		address string
		born    int64
		server  *http.Server
		loseOne atomic.Bool
		running atomic.Int64
		seq     int
		// drained is when a control VM confirmed that the worker drains.
		drained atomic.Int64
		calm    func(since time.Duration) bool
	}

	// workerBeat is a heartbeat of the platform's protocol.
	workerBeat struct {
		Service string  `json:"service"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Version string  `json:"version"`
		Slots   int     `json:"slots"`
		State   string  `json:"state"`
		Cold    float64 `json:"coldRemainingS"`
		Seq     int     `json:"seq"`
		Born    int64   `json:"born"`
	}
)

func newLedger(t *testing.T) *ledger {
	return &ledger{t: t, runs: map[string]int{}, once: map[string]bool{}, refused: map[string]int{}}
}

func (l *ledger) sent(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.once[id] = once
}

func (l *ledger) ran(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if _, known := l.once[id]; !known {
		l.t.Errorf("%s ran %q, which nobody sent", worker, id)
	}
	if l.once[id] && l.runs[id] > 1 {
		l.t.Errorf("%s ran %s, which may run once, for the %dth time", worker, id, l.runs[id])
	}
	l.checkRefusal(id)
}

// told records that a caller was told that the request did not run and never will.
func (l *ledger) told(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = status
	l.checkRefusal(id)
}

func (l *ledger) checkRefusal(id string) {
	if l.once[id] && l.refused[id] != 0 && l.runs[id] > 0 {
		l.t.Errorf("%s was answered with %d and ran", id, l.refused[id])
	}
}

// startWorker serves until its context ends, which counts as a crash.
func startWorker(ctx context.Context, w *soakWorker) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.born = ln.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = w.server.Close() })
	return nil
}

// ServeHTTP runs a request.
func (w *soakWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Briarferry-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Briarferry-Request-Id")
	h.Set("X-Briarferry-Request-Id", id)
	h.Set("X-Briarferry-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), soakSlots))
	if want := r.Header.Get("X-Briarferry-Expected-Instance"); want != "" && want != w.id {
		h.Set("X-Briarferry-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.ledger.ran(id, w.id)
	w.checkDrain(id)
	w.running.Add(1)
	defer w.running.Add(-1)
	select {
	case <-time.After(10*time.Millisecond + rand.N(40*time.Millisecond)):
	case <-r.Context().Done():
		return
	}
	if w.loseOne.CompareAndSwap(true, false) {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Briarferry-Server-Signature", "sig-"+id)
	_, _ = fmt.Fprintf(rw, "%s %s %s", id, r.URL.Path, body)
}

// checkDrain reports work that comes after the confirmed drain. It is only promised while
// the VMs were not disturbed.
func (w *soakWorker) checkDrain(id string) {
	at := w.drained.Load()
	if at == 0 {
		return
	}
	if late := time.Since(time.Unix(0, at)); late > soakDrain+soakSlack && w.calm(late+soakContact) {
		w.ledger.t.Errorf("%s got %s %s after its drain was confirmed", w.id, id, late)
	}
}

// report sends one heartbeat to the first control VM that takes it.
func (w *soakWorker) report(ctx context.Context, controls []*soakVM, state string) bool {
	w.seq++
	data, _ := json.Marshal(workerBeat{
		Service: w.service, Address: w.address, Zone: soakZones[w.zone], Version: "v1", Slots: soakSlots, State: state, Seq: w.seq, Born: w.born,
	})
	return callControls(ctx, controls, http.MethodPut, "/api/instances/"+w.id, nil, data) == http.StatusOK
}

// callControls calls control VMs in random order until one gives a clear answer, and
// returns its status.
func callControls(ctx context.Context, controls []*soakVM, method, path string, header http.Header, body []byte) int {
	for _, i := range rand.Perm(len(controls)) {
		if status, _ := callControl(ctx, controls[i], method, path, header, body); status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	return 0
}

// callControl makes one call on a connection of its own; the status is 0 without an answer.
func callControl(ctx context.Context, v *soakVM, method, path string, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, soakTimeout)
	defer cancel()
	port := soakControl
	if strings.HasPrefix(path, "/api/resolve") {
		port = soakDirectory
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

// live lets workers come and go: each lives for a while, then crashes or drains, and
// another one takes its place.
func (s *soak) live(ctx context.Context, service string, zone int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		life, crash := context.WithCancel(ctx)
		w := &soakWorker{ledger: s.ledger, id: fmt.Sprintf("i-%s-%d-%d", service, zone, n), service: service, zone: zone, calm: s.calm}
		if err := startWorker(life, w); err != nil {
			s.t.Error(err)
			crash()
			return
		}
		s.work(life, w, r, time.Now().Add(4*time.Second+time.Duration(r.Int64N(int64(8*time.Second)))))
		crash()
	}
}

// work reports until the worker's end. Half of the workers drain before it.
func (s *soak) work(ctx context.Context, w *soakWorker, r *rand.Rand, end time.Time) {
	drains := r.IntN(2) == 0
	for time.Now().Before(end) || s.settling.Load() {
		w.report(ctx, s.controls, "ready")
		if r.IntN(8) == 0 && !s.settling.Load() {
			w.loseOne.Store(true)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(soakBeat):
		}
	}
	if !drains {
		return
	}
	for ctx.Err() == nil && !w.report(ctx, s.controls, "draining") {
		time.Sleep(soakBeat)
	}
	w.drained.Store(time.Now().UnixNano())
	select {
	case <-ctx.Done():
	case <-time.After(soakDrain + 2*time.Second):
		callControls(ctx, s.controls, http.MethodDelete, "/api/instances/"+w.id, nil, nil)
	}
}
