package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is heartbeatIntervalS of the settings.
	beatInterval = 1500 * time.Millisecond
	// workerSlots and workerQueue are those of the site's largest service.
	workerSlots = 9
	workerQueue = 27
	// coldTime is coldStartS of the services. A cold worker takes coldFactor times as long.
	coldTime   = 3 * time.Second
	coldFactor = 2
	// downTime is the time after which a crashed worker is back.
	downTime = 3 * time.Second
	// firstWorkerHost is the last part of the first worker's address.
	firstWorkerHost = 20
)

type (
	// workerRun is one request that a worker began to work on.
	workerRun struct {
		id, worker, tenant string
		at                 time.Time
		// crashed is true if the request crashed the worker.
		crashed bool
	}

	// runLog holds the runs of all workers.
	runLog struct {
		mu   sync.Mutex
		runs []workerRun
	}

	// worker is a backend server that follows the pages. It lives on one address, in one
	// lifetime after another.
	worker struct {
		c                      *cluster
		runs                   *runLog
		service, zone, address string
		work                   time.Duration
		// crashes reports whether a request crashes the worker; nil means that none does.
		crashes func(r *http.Request) bool

		mu      sync.Mutex
		current *lifetime
		ended   bool
		starts  int
	}

	// lifetime is a worker from its start to its end.
	lifetime struct {
		w         *worker
		id        string
		born      time.Time
		coldUntil time.Time
		srv       *http.Server
		slots     chan struct{}
		present   atomic.Int64
		seq       uint64
		next      int
		done      chan struct{}
		once      sync.Once
	}
)

func (l *runLog) add(r workerRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns the runs so far.
func (l *runLog) all() []workerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]workerRun{}, l.runs...)
}

// startWorkers starts a number of workers of a service, in one zone after the other.
func startWorkers(c *cluster, runs *runLog, service string, count int, work time.Duration, crashes func(r *http.Request) bool) ([]*worker, error) {
	var out []*worker
	for i := range count {
		w := &worker{
			c: c, runs: runs, service: service, zone: zones[i%len(zones)].name, work: work, crashes: crashes,
			address: fmt.Sprintf("127.78.%d.%d:8080", c.subnet, firstWorkerHost+i),
		}
		if err := w.start(time.Time{}); err != nil {
			return out, err
		}
		out = append(out, w)
	}
	return out, nil
}

// start begins a lifetime under a new id, cold until the given time.
func (w *worker) start(coldUntil time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.starts++
	l := &lifetime{
		w: w, id: fmt.Sprintf("i-%s-%s-%d", w.service, w.address[len("127.78."):len(w.address)-len(":8080")], w.starts),
		born: time.Now(), coldUntil: coldUntil, slots: make(chan struct{}, workerSlots), done: make(chan struct{}),
	}
	l.srv = &http.Server{Handler: l}
	w.current = l
	go func() { _ = l.srv.Serve(ln) }()
	go l.beats()
	return nil
}

// end ends the worker for good.
func (w *worker) end() {
	w.mu.Lock()
	w.ended = true
	l := w.current
	w.mu.Unlock()
	l.end()
}

// end ends the lifetime without a word: its listener and all its connections are closed.
func (l *lifetime) end() {
	l.once.Do(func() {
		close(l.done)
		_ = l.srv.Close()
	})
}

// crash ends the lifetime. The worker is back after some seconds, cold.
func (l *lifetime) crash() {
	l.end()
	time.AfterFunc(downTime, func() {
		if err := l.w.start(time.Now().Add(coldTime)); err != nil {
			l.w.c.rec.line("worker at %s could not start again: %v", l.w.address, err)
		}
	})
}

// beats reports the worker until the end of its lifetime.
func (l *lifetime) beats() {
	for {
		l.beat()
		select {
		case <-l.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

// beat calls one control VM after another until one confirms the report.
func (l *lifetime) beat() {
	for range 2 * len(l.w.c.controls) {
		v := l.w.c.controls[l.next%len(l.w.c.controls)]
		l.seq++
		body, _ := json.Marshal(map[string]any{
			"service": l.w.service, "address": l.w.address, "zone": l.w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
			"coldRemainingS": max(0, time.Until(l.coldUntil).Seconds()), "seq": l.seq, "born": l.born.UnixMilli(),
		})
		status, _, err := v.call(http.MethodPut, "/api/instances/"+l.id, "", body, callTimeout)
		if err == nil && status/100 == 2 {
			return
		}
		l.next++
	}
}

// ServeHTTP answers a health probe, or runs a request in a free slot.
func (l *lifetime) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Briarferry-Instance-Id", l.id)
	id := r.Header.Get("X-Briarferry-Request-Id")
	if id != "" {
		h.Set("X-Briarferry-Request-Id", id)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("X-Briarferry-Cold-Ms", strconv.FormatInt(max(0, time.Until(l.coldUntil).Milliseconds()), 10))
		return
	}
	if expected := r.Header.Get("X-Briarferry-Expected-Instance"); expected != "" && expected != l.id {
		reject(rw, http.StatusMisdirectedRequest)
		return
	}
	present := l.present.Add(1)
	defer l.present.Add(-1)
	h.Set("X-Briarferry-Server-Load", fmt.Sprintf("%d,%d,%d", min(present, workerSlots), max(0, present-workerSlots), workerSlots))
	if present > workerSlots+workerQueue {
		reject(rw, http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-r.Context().Done():
		return
	}
	l.run(rw, r, id)
}

func (l *lifetime) run(rw http.ResponseWriter, r *http.Request, id string) {
	crashed := l.w.crashes != nil && l.w.crashes(r)
	l.w.runs.add(workerRun{id: id, worker: l.id, tenant: r.Header.Get("X-Briarferry-Tenant"), at: time.Now(), crashed: crashed})
	if crashed {
		l.w.c.rec.say("worker %s begins to run %s and crashes, with %d other requests", l.id, id, l.present.Load()-1)
		l.crash()
		return
	}
	l.w.c.rec.line("worker %s runs %s", l.id, id)
	work := l.w.work
	if time.Now().Before(l.coldUntil) {
		work *= coldFactor
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Briarferry-Server-Signature", "3e1b.07.5a2.600.0."+id)
	_, _ = fmt.Fprintf(rw, "%s ran %s\n", l.id, id)
}

// reject answers that the worker did not run the request.
func reject(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Briarferry-Not-Executed", "1")
	rw.WriteHeader(status)
}
