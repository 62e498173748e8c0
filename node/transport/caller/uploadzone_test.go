package caller_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/caller"
)

const uploadRules = `format 1
change 1 # test: a pool behind routes
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route send host=desk.example path=/send/ kind=upload within=2s aim=1s rank=1 tries=2 to=desk # test: uploads
route book host=desk.example path=/book/ kind=unsafe within=2s aim=1s rank=1 tries=2 to=desk # test: bookings
`

// targetRecorder answers every attempt and keeps the zone of its target.
type targetRecorder struct{ zones chan string }

func (r targetRecorder) Send(_ context.Context, target balancer.Target, _ message.Attempt, _ *message.Request) *message.Reply {
	r.zones <- target.Zone
	reply := &message.Reply{Outcome: attempt.Answered}
	reply.Header.SetStatusCode(http.StatusNoContent)
	return reply
}

func (targetRecorder) Cancel(context.Context, balancer.Target, attempt.ID) destination.CancelOutcome {
	return destination.Unknown
}

// startCaller starts a caller server in zone a with a back end at slowdown 1.6 there and one at slowdown 1 in zone b.
func startCaller(t *testing.T) (address string, zones chan string) {
	t.Helper()
	set, err := rule.Parse(uploadRules)
	if err != nil {
		t.Fatal(err)
	}
	set.Revision = 1
	e := engine.New(engine.Config{
		Call: call.New(call.Config{Node: "entry", Balancer: balancer.New(balancer.Config{
			Zone: "a", Region: "r", Rand: rand.New(rand.NewPCG(1, 2)),
		})}),
		Destination: destination.New(destination.Config{Zone: "a"}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	target := func(name, zone string) balancer.Target {
		return balancer.Target{Backend: name, Service: "desk", Node: name, Zone: zone, Region: "r", Slots: 12, State: admission.Ready}
	}
	e.Apply(engine.Update{Rules: set, Targets: []balancer.Target{target("near", "a"), target("far", "b")}})
	zones = make(chan string, 1000)
	s := caller.New(caller.Config{
		Node: "entry", Engine: e, Sender: reporting{targetRecorder{zones}, e}, Rules: func() *rule.Set { return set },
		MaxCalls: 100, MaxPipelined: 8, MaxReadAhead: 8, MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20,
		RulesOutdated: func() bool { return false }, BodyMemory: semaphore.NewWeighted(16 << 20), ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 10 * time.Second,
	})
	reportLoads(e)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return ln.Addr().String(), zones
}

// reporting renews the load reports with every attempt, so that none of them grows old.
type reporting struct {
	targetRecorder
	engine *engine.Engine
}

func (r reporting) Send(ctx context.Context, target balancer.Target, a message.Attempt, req *message.Request) *message.Reply {
	reportLoads(r.engine)
	return r.targetRecorder.Send(ctx, target, a, req)
}

func reportLoads(e *engine.Engine) {
	e.ReportHint(balancer.LoadReport{Backend: "near", Hint: hint.Hint{Limit: 12, Slowdown: 1.6}})
	e.ReportHint(balancer.LoadReport{Backend: "far", Hint: hint.Hint{Limit: 12, Slowdown: 1}})
}

// Guards against a large body that crosses zones for a gain below its cost, and against short requests that stay at a slower
// back end because of it.
func TestUploadStaysInItsZone(t *testing.T) {
	address, zones := startCaller(t)
	for _, test := range []struct {
		path, want string
		length     int
	}{{"/book/1", "b", 160_000}, {"/send/1", "b", 100}, {"/send/2", "a", 160_000}} {
		for range 10 {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+test.path, bytes.NewReader(make([]byte, test.length)))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "desk.example"
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusNoContent {
				t.Fatalf("%s: status %d", test.path, resp.StatusCode)
			}
			if zone := <-zones; zone != test.want {
				t.Errorf("%s with %d bytes went to zone %s, want %s", test.path, test.length, zone, test.want)
			}
		}
	}
}
