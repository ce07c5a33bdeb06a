package bfstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry/internal/protocol/bfapi"
)

var tracer = otel.Tracer("briarferry/standin")

type (
	// Server is one emulated backend server.
	Server struct {
		Service       string
		Address       netip.AddrPort
		Region        string
		FailureDomain string
		Slots         int
		ExecutionLog  *ExecutionLog

		mu          sync.Mutex
		behaviour   Behaviour
		silentSince time.Time
		startedAt   time.Time
		http        *http.Server

		busy    atomic.Int64
		shed    atomic.Int64
		crashes atomic.Int64
		maxBusy atomic.Int64
		served  atomic.Int64
	}

	// Reply is the body of an answer. Its fields let callers check that the answer belongs
	// to their request.
	Reply struct {
		Service    string `json:"service"`
		Server     string `json:"server"`
		RequestID  string `json:"request_id"`
		Key        string `json:"key,omitempty"`
		BodyDigest string `json:"body_digest"`
	}

	connOpenedAtKey struct{}
)

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Silent && !s.behaviour.Silent {
		s.silentSince = time.Now()
	}
	s.behaviour = b
}

// Behaviour returns the current behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// Start listens and serves requests in the background until Stop or a crash.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return fmt.Errorf("bfstandin: listen: %w", err)
	}
	srv := &http.Server{
		Handler: s,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpenedAtKey{}, time.Now())
		},
	}
	s.mu.Lock()
	s.http = srv
	s.startedAt = time.Now()
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	srv := s.http
	s.http = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// crash stops the server and restarts it after RestartAfter.
func (s *Server) crash() {
	s.crashes.Add(1)
	s.Stop()
	time.AfterFunc(s.Behaviour().RestartAfter.Std(), func() { _ = s.Start() })
}

func (s *Server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// ServeHTTP handles a request according to the current behaviour.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == bfapi.PathHealth {
		s.serveHealth(w)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "backend")
	defer span.End()
	r = r.WithContext(ctx)
	b := s.Behaviour()
	if s.isUnresponsive(r, b) {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.CrashOn != "" && (strings.Contains(string(body), b.CrashOn) || strings.Contains(r.URL.String(), b.CrashOn)) {
		s.recordExecution(r)
		s.crash()
		return
	}
	busy := s.busy.Add(1)
	defer s.busy.Add(-1)
	s.updateMaxBusy(busy)
	if int(busy) > s.Slots {
		s.shed.Add(1)
		w.Header().Set(bfapi.HeaderShed, "1")
		w.Header().Set(bfapi.HeaderRequestID, r.Header.Get(bfapi.HeaderRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.recordExecution(r)
	if !s.simulateExecution(r, b) {
		return
	}
	s.served.Add(1)
	s.answer(w, r, b, body)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.Behaviour().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isUnresponsive reports whether requests on this connection must get no answer.
func (s *Server) isUnresponsive(r *http.Request, b Behaviour) bool {
	if b.Frozen {
		return true
	}
	opened, _ := r.Context().Value(connOpenedAtKey{}).(time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.Silent && opened.Before(s.silentSince)
}

func (s *Server) recordExecution(r *http.Request) {
	key := r.Header.Get(bfapi.HeaderIdempotencyKey)
	if key == "" {
		return
	}
	s.ExecutionLog.Add(key, Execution{
		Service: s.Service, Server: s.Address.String(),
		RequestID: r.Header.Get(bfapi.HeaderRequestID), StartedAt: time.Now(),
	})
}

// simulateExecution waits for the execution time of a request. It reports false if the
// request is cancelled or its deadline passes before that.
func (s *Server) simulateExecution(r *http.Request, b Behaviour) bool {
	ctx := r.Context()
	if seconds, err := strconv.ParseFloat(r.Header.Get(bfapi.HeaderRequestTimeout), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(seconds*float64(time.Second)))
		defer cancel()
	}
	d := time.Duration(float64(b.MeanExecutionTime) * (1 - b.Spread + 2*b.Spread*rand.Float64()))
	if s.isCold(b) {
		d = time.Duration(float64(d) * b.ColdFactor)
	}
	if rand.Float64() < b.LateShare {
		d += b.LateBy.Std()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) isCold(b Behaviour) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.startedAt) < b.ColdStart.Std()
}

func (s *Server) updateMaxBusy(busy int64) {
	for {
		old := s.maxBusy.Load()
		if busy <= old || s.maxBusy.CompareAndSwap(old, busy) {
			return
		}
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	digest := sha256.Sum256(body)
	reply := Reply{
		Service: s.Service, Server: s.Address.String(), RequestID: r.Header.Get(bfapi.HeaderRequestID),
		Key: r.Header.Get(bfapi.HeaderIdempotencyKey), BodyDigest: hex.EncodeToString(digest[:8]),
	}
	status := http.StatusOK
	if rand.Float64() < b.FailShare {
		status = http.StatusInternalServerError
	}
	if rand.Float64() < b.CrossedShare {
		reply.RequestID, reply.BodyDigest = "another-request", "0000000000000000"
	}
	data, _ := json.Marshal(reply)
	w.Header().Set(bfapi.HeaderRequestID, reply.RequestID)
	w.Header().Set("Content-Type", bfapi.TypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if rand.Float64() < b.TruncatedShare {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
