// Package bftrace sets up the export of traces.
package bftrace

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Exporter configures tracing; without an endpoint no span is recorded.
type Exporter struct {
	// Endpoint is the URL of an OTLP collector over HTTP.
	Endpoint string
	// SampleShare is the share of new traces that are recorded.
	SampleShare float64
	// Process names the process in its spans.
	Process string
}

// Start installs the tracer and returns the function that flushes and stops it.
func (e Exporter) Start(ctx context.Context) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if e.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(e.Endpoint))
	if err != nil {
		return nil, fmt.Errorf("bftrace: create exporter: %w", err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(e.SampleShare))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", e.Process))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
