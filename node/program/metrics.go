package program

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/transport/caller"
)

// metrics records what a node does and serves it to Prometheus.
type metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	calls    metric.Int64Counter
	retries  metric.Int64Counter
	refusals metric.Int64Counter
	latency  metric.Float64Histogram
	added    metric.Float64Histogram
}

// boundaries of latency histograms, in seconds.
var boundaries = metric.WithExplicitBucketBoundaries(
	0.0001, 0.0002, 0.0005, 0.001, 0.0014, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
)

func newMetrics(i do.Injector) (*metrics, error) {
	p := do.MustInvoke[*Node](i)
	m := &metrics{registry: prometheus.NewRegistry()}
	reader, err := exporter.New(exporter.WithRegisterer(m.registry))
	if err != nil {
		return nil, err
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	meter := m.provider.Meter("pollenhill/node")
	if err := m.instruments(meter); err != nil {
		return nil, err
	}
	return m, m.gauges(meter, p)
}

func (m *metrics) instruments(meter metric.Meter) error {
	var err error
	if m.calls, err = meter.Int64Counter("calls", metric.WithDescription("calls by service and outcome")); err != nil {
		return err
	}
	if m.retries, err = meter.Int64Counter("attempts.extra", metric.WithDescription("retries and hedges by service")); err != nil {
		return err
	}
	if m.refusals, err = meter.Int64Counter("refusals", metric.WithDescription("refused calls by service and reason")); err != nil {
		return err
	}
	m.latency, err = meter.Float64Histogram("call.latency", metric.WithUnit("s"), boundaries,
		metric.WithDescription("time until the response header"))
	if err != nil {
		return err
	}
	m.added, err = meter.Float64Histogram("call.added", metric.WithUnit("s"), boundaries,
		metric.WithDescription("time until the response header that was not spent on the delivered attempt"))
	return err
}

// gauge is one figure that is read when Prometheus asks.
type gauge struct {
	name string
	text string
	read func(p *Node) int64
}

var gauges = []gauge{
	{"admission.inflight", "requests at the back end", func(p *Node) int64 { return int64(p.engine.View().Admission.Hint.Inflight) }},
	{"admission.queued", "requests waiting here", func(p *Node) int64 { return int64(p.engine.View().Admission.Hint.Queued) }},
	{"admission.limit", "requests let through at once", func(p *Node) int64 { return int64(p.engine.View().Admission.Hint.Limit) }},
	{"calls.open", "calls in progress", func(p *Node) int64 { return int64(p.engine.View().Calls) }},
	{"rules.revision", "revision of the rules in force", func(p *Node) int64 { return int64(p.revision()) }},
	{"rules.age", "seconds since the rules came into force here", func(p *Node) int64 {
		return int64(time.Since(p.rules.Load().since).Seconds())
	}},
	{"responses.mismatched", "responses dropped because they belong to another attempt", func(p *Node) int64 {
		return int64(p.client.MismatchedResponses())
	}},
}

func (m *metrics) gauges(meter metric.Meter, p *Node) error {
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.text),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.read(p))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *metrics) observe(o caller.CallMetrics) {
	ctx := context.Background()
	service := attribute.String("service", o.Service)
	m.calls.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", o.Outcome.String())))
	m.latency.Record(ctx, o.HeaderLatency.Seconds(), metric.WithAttributes(service))
	if o.Reason != refusal.None {
		m.refusals.Add(ctx, 1, metric.WithAttributes(service, attribute.String("reason", o.Reason.String())))
	} else {
		m.added.Record(ctx, (o.HeaderLatency - o.DestinationTime).Seconds(), metric.WithAttributes(service))
	}
	if o.Attempts > 1 {
		m.retries.Add(ctx, int64(o.Attempts-1), metric.WithAttributes(service))
	}
}

func (m *metrics) close() error {
	return m.provider.Shutdown(context.Background())
}
