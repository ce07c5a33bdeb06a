package bfentry

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"briarferry"
	"briarferry/internal/protocol/bfapi"
)

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if reason := e.unready(); reason != "" {
		bfapi.WriteError(w, r.Header.Get(bfapi.HeaderRequestID), refuseUnready(reason))
		return
	}
	cfg, lease, ok := e.Config.Current()
	if !ok {
		bfapi.WriteError(w, r.Header.Get(bfapi.HeaderRequestID), refuseNoLease())
		return
	}
	name := bfapi.RequestService(r)
	s, ok := cfg.Service(name)
	if !ok {
		bfapi.WriteError(w, r.Header.Get(bfapi.HeaderRequestID), refuseUnknownService(name))
		return
	}
	req, err := bfapi.ReadRequest(w, r, cfg, s)
	if err != nil {
		bfapi.WriteError(w, req.ID, err)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "request")
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	a, err := e.Pipeline.Run(ctx, s, req, lease)
	if errors.Is(err, context.Canceled) {
		return
	}
	if err != nil {
		bfapi.WriteError(w, req.ID, err)
		return
	}
	writeAnswer(w, req, a)
}

func writeAnswer(w http.ResponseWriter, req *briarferry.Request, a *briarferry.Answer) {
	for name, values := range a.Header {
		w.Header()[http.CanonicalHeaderKey(name)] = values
	}
	w.Header().Set(bfapi.HeaderRequestID, req.ID)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
