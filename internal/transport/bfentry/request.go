package bfentry

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
	"briarferry/internal/transport/bfcaller"
)

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.isDraining() {
		w.Header().Set("Connection", "close")
	}
	if reason := e.unreadyReason(); reason != "" {
		writeEarlyRefusal(w, r, refuseUnknown(reason))
		return
	}
	cfg, lease, ok := e.Config.Current()
	if !ok {
		writeEarlyRefusal(w, r, refuseNoLease())
		return
	}
	name := bfapi.RequestService(r)
	s, ok := cfg.Service(name)
	if !ok {
		writeEarlyRefusal(w, r, refuseUnknownService(name))
		return
	}
	req, err := bfapi.ReadRequest(w, r, cfg, s)
	if err != nil {
		writeEarlyRefusal(w, r, err)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "request")
	defer span.End()
	ctx, hasLeft, stop := bfcaller.Follow(ctx)
	defer stop()
	if req.Key == "" {
		req.CallerLeft = hasLeft
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var a *briarferry.Answer
	if e.Steering == nil || e.Steering.Admits(req.Caller, cfg, s, req.Class) {
		a, err = e.Pipeline.Run(ctx, s, req, lease)
	} else {
		a, err = e.Pipeline.Refuse(ctx, s, req, lease)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, bfcaller.ErrLeft) {
		// A return would send an empty answer with status 200.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		bfapi.WriteError(w, req.ID, err)
		return
	}
	writeAnswer(w, req, a)
}

// writeEarlyRefusal answers a request that is refused before its key was claimed. If it has a
// key, an earlier attempt may have run, so the outcome is unknown.
func writeEarlyRefusal(w http.ResponseWriter, r *http.Request, err error) {
	p, retryAfter := bfapi.ProblemOf(err)
	p.RequestID = r.Header.Get(bfapi.HeaderRequestID)
	if r.Header.Get(bfapi.HeaderIdempotencyKey) != "" {
		p.Outcome = briarferry.OutcomeUnknown
	}
	bfapi.WriteProblem(w, p, retryAfter)
}

func writeAnswer(w http.ResponseWriter, req *briarferry.Request, a *briarferry.Answer) {
	for name, values := range a.Header {
		w.Header()[http.CanonicalHeaderKey(name)] = values
	}
	w.Header().Set(bfapi.HeaderRequestID, req.ID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
