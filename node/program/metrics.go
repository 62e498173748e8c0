package program

import (
	"context"
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/allowance"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
)

// metrics holds the Prometheus metrics of a node.
type metrics struct {
	registry      *prometheus.Registry
	provider      *sdk.MeterProvider
	calls         metric.Int64Counter
	extraAttempts metric.Int64Counter
	refusals      metric.Int64Counter
	refusedKeys   metric.Int64Counter
	headerLatency metric.Float64Histogram
	addedLatency  metric.Float64Histogram
}

// latencyBuckets are the upper bounds of the buckets of latency histograms, in seconds.
var latencyBuckets = metric.WithExplicitBucketBoundaries(
	0.0001, 0.0002, 0.0005, 0.001, 0.0014, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
)

func newMetrics(i do.Injector) (*metrics, error) {
	n := do.MustInvoke[*Node](i)
	m := &metrics{registry: prometheus.NewRegistry()}
	reader, err := exporter.New(exporter.WithRegisterer(m.registry))
	if err != nil {
		return nil, err
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	meter := m.provider.Meter("pollenhill/node")
	if err := m.createInstruments(meter); err != nil {
		return nil, err
	}
	return m, m.registerGauges(meter, n)
}

func (m *metrics) createInstruments(meter metric.Meter) error {
	var err error
	if m.calls, err = meter.Int64Counter("calls", metric.WithDescription("calls by service and outcome")); err != nil {
		return err
	}
	if m.extraAttempts, err = meter.Int64Counter("attempts.extra", metric.WithDescription("retries and hedges by service")); err != nil {
		return err
	}
	if m.refusals, err = meter.Int64Counter("refusals", metric.WithDescription("refused calls by service and reason")); err != nil {
		return err
	}
	m.refusedKeys, err = meter.Int64Counter("keys.refused", metric.WithDescription("requests without a known key, by whether they sent one"))
	if err != nil {
		return err
	}
	m.headerLatency, err = meter.Float64Histogram("call.latency", metric.WithUnit("s"), latencyBuckets,
		metric.WithDescription("time until the response header"))
	if err != nil {
		return err
	}
	m.addedLatency, err = meter.Float64Histogram("call.added", metric.WithUnit("s"), latencyBuckets,
		metric.WithDescription("time until the response header that was not spent on the delivered attempt"))
	return err
}

// gaugeDefinition describes a gauge whose value is read at every scrape.
type gaugeDefinition struct {
	name        string
	description string
	read        func(n *Node) int64
}

var gauges = []gaugeDefinition{
	{"admission.inflight", "requests at the back end", func(n *Node) int64 { return int64(n.engine.View().Admission.Hint.Inflight) }},
	{"admission.queued", "requests waiting here", func(n *Node) int64 { return int64(n.engine.View().Admission.Hint.Queued) }},
	{"admission.limit", "requests let through at once", func(n *Node) int64 { return int64(n.engine.View().Admission.Hint.Limit) }},
	{"backend.limit", "requests per second that the back end takes by its own word, 0 for no limit", func(n *Node) int64 {
		return int64(math.Round(n.backend.RequestLimit()))
	}},
	{"uploads.waiting", "attempts of other nodes that wait to send a large body", func(n *Node) int64 {
		waiting, _, _ := n.peerServer.UploadCounts()
		return int64(waiting)
	}},
	{"uploads.receiving", "large bodies that arrive from other nodes", func(n *Node) int64 {
		_, receiving, _ := n.peerServer.UploadCounts()
		return int64(receiving)
	}},
	{"uploads.refused", "attempts of other nodes refused before their large bodies", func(n *Node) int64 {
		_, _, refused := n.peerServer.UploadCounts()
		return refused
	}},
	{"calls.open", "calls in progress", func(n *Node) int64 { return int64(n.engine.View().Calls) }},
	{"rules.accounts", "client accounts in the rules in force", func(n *Node) int64 { return int64(len(n.activeRules.Load().set.Accounts)) }},
	{"rules.keys", "keys of all client accounts in the rules in force", func(n *Node) int64 { return int64(n.activeRules.Load().set.KeyCount()) }},
	{"rollout.share", "percent of the requests for the target version while a rollout of the service of the back end advances, else -1", (*Node).rolloutPercent},
	{"rules.revision", "revision of the rules in force", func(n *Node) int64 { return int64(n.rulesRevision()) }},
	{"rules.age", "seconds since the rules came into force here", func(n *Node) int64 {
		return int64(time.Since(n.activeRules.Load().appliedAt).Seconds())
	}},
	{"allowance.touch", "1 if the totals over all nodes are fresh", func(n *Node) int64 {
		if n.allowances.limiter.Stats(time.Now()).InTouch {
			return 1
		}
		return 0
	}},
	{"responses.mismatched", "responses dropped because they belong to another attempt", func(n *Node) int64 {
		return int64(n.peerClient.MismatchedResponses())
	}},
}

func (m *metrics) registerGauges(meter metric.Meter, n *Node) error {
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.read(n))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	if err := registerShedCounters(meter, n); err != nil {
		return err
	}
	if err := registerAllowanceCounters(meter, n); err != nil {
		return err
	}
	return registerSentCounter(meter, n)
}

// registerAllowanceCounters counts the decisions about limited accounts, summed over all of them.
func registerAllowanceCounters(meter metric.Meter, n *Node) error {
	counters := map[string]func(allowance.Stats) uint64{
		"allowance.admitted": func(s allowance.Stats) uint64 { return s.Admitted },
		"allowance.refused":  func(s allowance.Stats) uint64 { return s.Refused },
	}
	for name, read := range counters {
		_, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(read(n.allowances.limiter.Stats(time.Now()))))
			return nil
		}))
		if err != nil {
			return err
		}
	}
	return nil
}

// registerSentCounter counts what the node sends to its back end.
func registerSentCounter(meter metric.Meter, n *Node) error {
	_, err := meter.Int64ObservableCounter("backend.sent", metric.WithDescription("requests to the back end by kind"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			attempts, checks := n.backend.SentRequests()
			o.Observe(attempts, metric.WithAttributes(attribute.Stringer("kind", backend.AttemptRequest)))
			o.Observe(checks, metric.WithAttributes(attribute.Stringer("kind", backend.CheckRequest)))
			return nil
		}))
	return err
}

func (m *metrics) recordCall(o caller.CallMetrics) {
	ctx := context.Background()
	service := attribute.String("service", o.Service)
	m.calls.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", o.Outcome.String())))
	m.headerLatency.Record(ctx, o.HeaderLatency.Seconds(), metric.WithAttributes(service))
	if o.Reason != refusal.None {
		m.refusals.Add(ctx, 1, metric.WithAttributes(service, attribute.String("reason", o.Reason.String())))
	} else {
		m.addedLatency.Record(ctx, (o.HeaderLatency - o.DestinationTime).Seconds(), metric.WithAttributes(service))
	}
	if o.Attempts > 1 {
		m.extraAttempts.Add(ctx, int64(o.Attempts-1), metric.WithAttributes(service))
	}
}

// recordRefusedKey counts a request without a known key. Its label says only whether one was sent, since keys and accounts
// would give a series for each.
func (m *metrics) recordRefusedKey(sent bool) {
	m.refusedKeys.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("sent", sent)))
}

func (m *metrics) close() error {
	return m.provider.Shutdown(context.Background())
}
