package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
	client "pollenhill.example/node/transport/control"
)

// Guards against a report that waits for a control process which is cut off, and against totals of one without a quorum.
func TestUsageFailover(t *testing.T) {
	tests := map[string]struct {
		fault       func(h *harness, at *fakeControlProcess)
		unavailable bool
	}{
		"no fault":               {func(*harness, *fakeControlProcess) {}, false},
		"followed one is silent": {func(_ *harness, at *fakeControlProcess) { at.update(func() { at.silent = true }) }, false},
		"followed one is behind": {func(_ *harness, at *fakeControlProcess) { at.update(func() { at.current = false }) }, false},
		"nobody has a quorum": {func(h *harness, _ *fakeControlProcess) {
			for _, f := range h.processes {
				f.update(func() { f.current = false })
			}
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runWithRules(t, func(t *testing.T, h *harness) {
				tt.fault(h, h.followed(t))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				got, err := h.client.ReportUsage(ctx, &control.UsageRequest{Node: "a", Incarnation: 1})
				if (err != nil) != tt.unavailable || err != nil && !errors.Is(err, client.ErrUnavailable) {
					t.Errorf("error %v, want ErrUnavailable: %v", err, tt.unavailable)
				}
				if err == nil && !got.GetCurrent() {
					t.Error("totals without a quorum")
				}
			})
		})
	}
}
