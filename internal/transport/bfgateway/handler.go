package bfgateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
)

const (
	// defaultMaxBody bounds bodies where the route table sets no limit.
	defaultMaxBody = 64 << 20
	// startRetryAfter is what callers are told until the first route table is known: an
	// election and a fetch later there is one.
	startRetryAfter = 1500 * time.Millisecond
	// stopRetryAfter is what callers are told while the entry stops: at once, at another.
	stopRetryAfter = 100 * time.Millisecond
	// retryShare is the part of the remaining time that callers wait before they try again.
	retryShare = 3
	tracerName = "briarferry/internal/transport/bfgateway"
)

// call is one caller's request on its way.
type call struct {
	request  *briarferry.Request
	route    *bfroute.Route
	service  string
	key      string
	received time.Time
	version  uint64
	// mu guards attempts, since a try that lost may end after the answer was given.
	mu       sync.Mutex
	attempts []attemptRecord
	// noServer is why no server was chosen; it may be nil.
	noServer *bfsteering.NoServerError
	// release gives the room of the body back.
	release func()
}

// ServeHTTP answers one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	n.active.Add(1)
	defer n.active.Add(-1)
	if n.stopping() {
		w.Header().Set("Connection", "close")
	}
	c, refusal := n.read(w, r, received)
	defer c.release()
	if refusal != nil {
		n.refuse(w, c, refusal)
		return
	}
	span.SetAttributes(attribute.String("route", c.route.Name), attribute.String("request_id", c.request.ID))
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	answer, err := n.forward(ctx, c)
	if r.Context().Err() != nil {
		n.note(c, "caller_left", 0, nil)
		panic(http.ErrAbortHandler)
	}
	if answer == nil {
		errors.As(err, &c.noServer)
		n.refuse(w, c, refusalOf(err))
		return
	}
	n.note(c, "answered", answer.Status, nil)
	writeAnswer(w, answer)
}

// read takes a request in and finds its route.
func (n *Node) read(w http.ResponseWriter, r *http.Request, received time.Time) (*call, *briarferry.Refusal) {
	c := &call{received: received, release: func() {}, request: &briarferry.Request{ID: r.Header.Get(n.Dialect.RequestIDHeader)}}
	table := n.routes.Load()
	if table == nil {
		return c, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no route table is known yet", RetryAfter: startRetryAfter}
	}
	c.version = table.Version
	if n.refusesNew() {
		return c, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the entry stops", RetryAfter: stopRetryAfter}
	}
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	c.request.Host, c.request.Target = r.Host, target
	c.route = table.Find(r.Host, path)
	if c.route == nil {
		return c, &briarferry.Refusal{Status: http.StatusNotFound, Outcome: briarferry.OutcomeNotRun, Reason: "no route matches the request"}
	}
	c.service = c.route.NextService()
	c.request.Service, c.request.Method = c.service, r.Method
	c.request.Header = bfapi.ForwardHeader(r.Header)
	c.request.Caller = bfapi.CallerAddr(r)
	c.request.Deadline = received.Add(n.remaining(r, c.route))
	if cookie, err := r.Cookie(n.Dialect.AffinityCookie); err == nil {
		c.key = cookie.Value
	}
	limit := table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, release, refusal := n.readBody(w, r, limit)
	c.release = release
	if refusal != nil {
		return c, refusal
	}
	c.request.Body = body
	c.request.Fingerprint = fingerprint(c.request)
	return c, nil
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// remaining returns how long the request may take: what the caller waits, at most what
// the route allows.
func (n *Node) remaining(r *http.Request, route *bfroute.Route) time.Duration {
	limit := route.Timeout.Std()
	if text := r.Header.Get(n.Dialect.RemainingTimeHeader); text != "" {
		if d, ok := n.Dialect.ParseRemainingTime(text); ok {
			return min(limit, d)
		}
	}
	return limit
}

func fingerprint(r *briarferry.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Host, r.Method, r.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

func writeAnswer(w http.ResponseWriter, a *briarferry.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// refuse gives the entry's own answer.
func (n *Node) refuse(w http.ResponseWriter, c *call, r *briarferry.Refusal) {
	n.note(c, "refused", r.Status, r)
	h := w.Header()
	if c.request.ID != "" {
		h.Set(n.Dialect.RequestIDHeader, c.request.ID)
	}
	if r.RetryAfter > 0 {
		after := r.RetryAfter
		if !c.request.Deadline.IsZero() {
			after = min(after, time.Until(c.request.Deadline)/retryShare)
		}
		h.Set("Retry-After", strconv.FormatFloat(max(0.01, after.Seconds()), 'f', 2, 64))
	}
	bfapi.WriteProblem(w, bfapi.Problem{Status: r.Status, Detail: r.Reason, Outcome: r.Outcome}, 0)
}

func refusalOf(err error) *briarferry.Refusal {
	var r *briarferry.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &briarferry.Refusal{Status: http.StatusBadGateway, Outcome: briarferry.OutcomeUnknown, Reason: err.Error()}
}
