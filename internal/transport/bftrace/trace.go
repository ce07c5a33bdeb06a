// Package bftrace configures the export of OpenTelemetry traces.
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

// Exporter exports traces to a collector. Without an endpoint, no spans are recorded.
type Exporter struct {
	// Endpoint is the URL of a collector that receives OTLP over HTTP.
	Endpoint string
	// SampleShare is the share of new traces that are recorded, from 0 to 1. A trace that
	// a caller started is recorded if the caller records it.
	SampleShare float64
	// Process is the service name in the spans of this process.
	Process string
}

// Start sets the global tracer provider and returns a function that flushes its spans and
// shuts it down.
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
