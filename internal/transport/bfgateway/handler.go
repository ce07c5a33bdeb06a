package bfgateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"briarferry"
	"briarferry/internal/coordination/bfroute"
	"briarferry/internal/coordination/bfsteering"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfcaller"
)

const (
	// defaultMaxBodyBytes applies if the route table sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// startRetryAfter is the Retry-After until the first route table is known. It allows
	// for a leader election and the fetch of the table.
	startRetryAfter = 1500 * time.Millisecond
	// stopRetryAfter is the Retry-After while the entry stops. It is short, as callers
	// can retry at another entry right away.
	stopRetryAfter = 100 * time.Millisecond
	// retryAfterDivisor divides the time that is left until the request's deadline. The
	// result is the longest Retry-After.
	retryAfterDivisor = 3
	tracerName        = "briarferry/internal/transport/bfgateway"
)

// call is one request of a caller and what is recorded while it is handled.
type call struct {
	request *briarferry.Request
	route   *bfroute.Route
	// organisation is that of the caller, or nil. keys are the keys that it presented.
	organisation *briarferry.Organisation
	keys         presentedKeys
	service      string
	// affinityKey is the value of the affinity cookie.
	affinityKey string
	received    time.Time
	// tableVersion is the version of the route table used for the request.
	tableVersion uint64
	// mu guards tries, answers, ended and drop, since a try may end after the request was
	// answered, such as the slower one of a hedged request.
	mu    sync.Mutex
	tries []tryRecord
	// answers are the servers' answers, which are released when the request has ended.
	answers []*briarferry.Answer
	ended   bool
	// drop closes the caller's connection. It is set when the sending of an answer begins.
	drop func()
	// tryEnded is closed at the end of the try whose answer is streamed.
	tryEnded <-chan struct{}
	// leftBeforeDispatch is true if the caller had closed its connection before a try.
	leftBeforeDispatch atomic.Bool
	// noServer is the reason why no server was chosen; it may be nil.
	noServer *bfsteering.NoServerError
	// upload is the body if it is sent to a server while it arrives, or nil.
	upload *callerBody
	// releaseBody releases the memory reserved for the body.
	releaseBody func()
}

// hold keeps the answer until the request has ended.
func (c *call) hold(a *briarferry.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		a.Release()
		return
	}
	c.answers = append(c.answers, a)
	if c.drop != nil {
		a.Deliver(c.drop)
	}
}

// deliver begins the sending of an answer to the caller, whose connection may be closed if it
// takes the answer too slowly.
func (c *call) deliver(ctx context.Context) {
	conn := bfcaller.FromContext(ctx)
	if conn == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// After the end of the request, its connection may carry the caller's next one.
		if !c.ended {
			_ = conn.Close()
		}
	}
	for _, a := range c.answers {
		a.Deliver(c.drop)
	}
}

// end releases all memory that is held for the request.
func (c *call) end() {
	c.releaseBody()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, a := range c.answers {
		a.Release()
	}
}

// ServeHTTP handles a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	ctx, span := otel.Tracer(tracerName).Start(n.traceContext(r), "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	n.active.Add(1)
	defer n.active.Add(-1)
	if n.stopping() {
		w.Header().Set("Connection", "close")
	}
	c, refusal := n.readRequest(w, r, received)
	defer c.end()
	if refusal != nil {
		n.writeRefusal(w, c, refusal)
		return
	}
	span.SetAttributes(attribute.String("route", c.route.Name), attribute.String("request_id", c.request.ID), attribute.String("organisation", c.request.Organisation))
	// A token of the organisation's quota is acquired here, before any try.
	ctx, stop := n.requestContext(ctx, c)
	defer stop()
	answer, err := n.forwardWithinQuota(ctx, c)
	if r.Context().Err() != nil || errors.Is(context.Cause(ctx), bfcaller.ErrLeft) {
		n.logRequest(c, c.abortUpload(), 0, nil)
		panic(http.ErrAbortHandler)
	}
	if answer == nil {
		errors.As(err, &c.noServer)
		refusal := asRefusal(err)
		c.countUpload(refusal)
		n.writeRefusal(w, c, refusal)
		return
	}
	c.deliver(r.Context())
	if answer.Stream != nil {
		n.streamAnswer(w, r, c, answer)
		return
	}
	n.logRequest(c, "answered", answer.Status, nil)
	writeAnswer(w, answer)
	c.endUpload(w)
}

// requestContext returns the context of a request's tries. It ends when the caller leaves, at
// the request's deadline, and when open requests are aborted.
func (n *Node) requestContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, hasLeft, stopFollowing := c.follow(ctx)
	c.request.CallerLeft = func() bool { return c.countIfLeft(hasLeft()) }
	ctx, abort := context.WithCancelCause(ctx)
	stopAborting := context.AfterFunc(n.aborting, func() { abort(errStopping) })
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	return ctx, func() {
		cancel()
		stopAborting()
		abort(nil)
		stopFollowing()
	}
}

// countIfLeft counts a request whose caller has left before a try, and returns its argument.
func (c *call) countIfLeft(left bool) bool {
	if left && c.leftBeforeDispatch.CompareAndSwap(false, true) {
		counters.leftBeforeDispatch.Add(1)
	}
	return left
}

// streamAnswer sends an answer while it is received. If its body does not become complete,
// the caller's connection is closed before the announced length.
func (n *Node) streamAnswer(w http.ResponseWriter, r *http.Request, c *call, a *briarferry.Answer) {
	writeHead(w, a, a.Length)
	_, err := a.Stream.WriteTo(w)
	switch {
	case err == nil:
		// The request's log line includes the try.
		<-c.tryEnded
		n.logRequest(c, "answered", a.Status, nil)
		return
	case r.Context().Err() != nil:
		n.logRequest(c, "caller_left", 0, nil)
	default:
		counters.streamsAborted.Add(1)
		n.logRequest(c, "aborted", a.Status, &briarferry.Refusal{Outcome: briarferry.OutcomeUnknown, Reason: err.Error()})
	}
	panic(http.ErrAbortHandler)
}

// readRequest reads a request with its body and finds its route. It always returns a call,
// so that a refused request can be logged too.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request, received time.Time) (*call, *briarferry.Refusal) {
	c := &call{received: received, releaseBody: func() {}, keys: n.presentedKeys(r.Header), request: &briarferry.Request{ID: n.requestID(r)}}
	table := n.routes.Load()
	if table == nil {
		return c, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "no route table is known yet", RetryAfter: startRetryAfter}
	}
	c.tableVersion = table.Version
	if n.refusesNew() {
		return c, &briarferry.Refusal{Status: http.StatusServiceUnavailable, Outcome: briarferry.OutcomeNotRun, Reason: "the entry stops", RetryAfter: stopRetryAfter}
	}
	if limit := orDefault(table.Limits.MaxHeaderBytes, defaultMaxHeaderBytes); headerBytes(r) > limit {
		return c, &briarferry.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: briarferry.OutcomeNotRun, Reason: "the request's headers are too large"}
	}
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	c.request.Host, c.request.Target = r.Host, target
	c.route = table.Find(r.Host, path)
	if c.route == nil {
		return c, &briarferry.Refusal{Status: http.StatusNotFound, Outcome: briarferry.OutcomeNotRun, Reason: "no route matches the request"}
	}
	if refusal := n.identify(c, table, r); refusal != nil {
		return c, refusal
	}
	c.service = c.route.NextService()
	c.request.Service, c.request.Method = c.service, r.Method
	c.request.Header = bfapi.ForwardHeader(r.Header)
	n.setOrganisation(c.request.Header, c.keys, c.request.Organisation)
	c.request.Caller = bfapi.CallerAddr(r)
	c.request.Deadline = received.Add(n.remaining(r, c.route))
	if cookie, err := r.Cookie(n.Dialect.AffinityCookie); err == nil {
		c.affinityKey = cookie.Value
	}
	limit := table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if streamsBody(r, c.route) {
		return c, n.startUpload(w, r, c, limit)
	}
	read := n.readBody
	if c.route.LargeBodies {
		read = n.readHeldUpload
	}
	body, release, refusal := read(w, r, limit)
	c.releaseBody = release
	if refusal != nil {
		return c, refusal
	}
	c.request.Body = body
	c.request.Fingerprint = fingerprint(c)
	return c, nil
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// remaining returns how long the request may take: the time given by the caller, limited
// by the route's timeout.
func (n *Node) remaining(r *http.Request, route *bfroute.Route) time.Duration {
	limit := route.Timeout.Std()
	if text := r.Header.Get(n.Dialect.RemainingTimeHeader); text != "" {
		if d, ok := n.Dialect.ParseRemainingTime(text); ok {
			return min(limit, d)
		}
	}
	return limit
}

// fingerprint identifies the request and its caller.
func fingerprint(c *call) uint64 {
	r := c.request
	return bfapi.Fingerprint(c.identity(), r.Body, r.Host, r.Method, r.Target)
}

// identity is what tells the caller from others. On an open route a caller may present any key
// or none, so its organisation doesn't count there.
func (c *call) identity() bfapi.CallerIdentity {
	id := bfapi.CallerIdentity{Address: c.request.Caller, AffinityKey: c.affinityKey}
	if !c.route.Open {
		id.Organisation = c.request.Organisation
	}
	return id
}

func writeAnswer(w http.ResponseWriter, a *briarferry.Answer) {
	writeHead(w, a, int64(len(a.Body)))
	_, _ = w.Write(a.Body)
}

// writeHead sends the status and the headers of an answer with the given length.
func writeHead(w http.ResponseWriter, a *briarferry.Answer, length int64) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.FormatInt(length, 10))
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	w.WriteHeader(a.Status)
}

// writeRefusal logs a refused request and sends the refusal to its caller.
func (n *Node) writeRefusal(w http.ResponseWriter, c *call, r *briarferry.Refusal) {
	n.logRequest(c, "refused", r.Status, r)
	h := w.Header()
	if c.request.ID != "" {
		h.Set(n.Dialect.RequestIDHeader, c.request.ID)
	}
	if r.RetryAfter > 0 {
		after := r.RetryAfter
		// A token of a quota that is used up comes no earlier for a caller with less time.
		if !c.request.Deadline.IsZero() && r.Status != http.StatusTooManyRequests {
			after = min(after, time.Until(c.request.Deadline)/retryAfterDivisor)
		}
		h.Set("Retry-After", strconv.FormatFloat(max(0.01, after.Seconds()), 'f', 2, 64))
	}
	bfapi.WriteProblem(w, bfapi.Problem{Status: r.Status, Detail: r.Reason, Outcome: r.Outcome}, 0)
	c.endUpload(w)
}

func asRefusal(err error) *briarferry.Refusal {
	var r *briarferry.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &briarferry.Refusal{Status: http.StatusBadGateway, Outcome: briarferry.OutcomeUnknown, Reason: err.Error()}
}
