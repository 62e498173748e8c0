package shutdown_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/node/coordination/shutdown"
)

// Guards against a shutdown that goes on until the process is killed, which cuts its requests without an answer.
func TestPlanEndsBeforeKill(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		cfg  shutdown.Config
		want shutdown.Plan
	}{
		"killed after 6 s": {
			shutdown.Config{BackendLeaveDelay: 1600 * ms, ListenerCloseDelay: 2500 * ms, KillDelay: 6000 * ms, AnswerTime: 200 * ms},
			shutdown.Plan{LeaveBackend: 1600 * ms, CloseListeners: 2500 * ms, EndCalls: 5200 * ms, End: 5400 * ms},
		},
		"killed soon": {
			shutdown.Config{BackendLeaveDelay: 1600 * ms, ListenerCloseDelay: 2500 * ms, KillDelay: 1000 * ms, AnswerTime: 200 * ms},
			shutdown.Plan{LeaveBackend: 700 * ms, CloseListeners: 700 * ms, EndCalls: 700 * ms, End: 900 * ms},
		},
		"timeout of its own": {
			shutdown.Config{BackendLeaveDelay: 500 * ms, ListenerCloseDelay: 1000 * ms, Timeout: 3000 * ms, KillDelay: 6000 * ms, AnswerTime: 200 * ms},
			shutdown.Plan{LeaveBackend: 500 * ms, CloseListeners: 1000 * ms, EndCalls: 3300 * ms, End: 3500 * ms},
		},
		"no limit": {
			shutdown.Config{ListenerCloseDelay: 1000 * ms, AnswerTime: 200 * ms},
			shutdown.Plan{CloseListeners: 1000 * ms},
		},
	} {
		if got := shutdown.New(test.cfg); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		cfg := shutdown.Config{
			BackendLeaveDelay: duration("serving"), ListenerCloseDelay: duration("linger"), Timeout: duration("grace"),
			KillDelay: duration("kill"), AnswerTime: duration("answers"),
		}
		p := shutdown.New(cfg)
		if p.LeaveBackend > p.CloseListeners || p.End > 0 && (p.CloseListeners > p.EndCalls || p.EndCalls > p.End) {
			t.Fatalf("%+v is out of order", p)
		}
		if cfg.KillDelay >= time.Microsecond && (p.End == 0 || p.End >= cfg.KillDelay) {
			t.Fatalf("%+v does not end before the process is killed after %v", p, cfg.KillDelay)
		}
	})
}
