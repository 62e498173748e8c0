package program

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"pollenhill.example/core/coordination/admission"
)

// registerShedCounters counts the requests that gave way to others at the local back end. Nothing is reported until one
// has.
func registerShedCounters(meter metric.Meter, n *Node) error {
	_, err := meter.Int64ObservableCounter("admission.shed", metric.WithDescription("requests refused for lack of room, by class"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for class, count := range n.engine.View().Admission.CostCounts.Shed {
				if count > 0 {
					o.Observe(int64(count), metric.WithAttributes(attribute.String("class", admission.ShedClassNames[class])))
				}
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("admission.late", metric.WithDescription("requests started past their objective, in free slots"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if late := n.engine.View().Admission.CostCounts.StartedLate; late > 0 {
				o.Observe(int64(late))
			}
			return nil
		}))
	return err
}
