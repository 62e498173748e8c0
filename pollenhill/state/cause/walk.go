package cause

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/event"
	"pollenhill.example/pollenhill/state/timeline"
)

// Explanation is what the events tell about one request.
type Explanation struct {
	Calls []Call
}

// Call is one arrival of the request at an entry node.
type Call struct {
	EntryNode     string // entry node
	Status        int
	Outcome       string
	Reason        string
	Route         string
	Service       string
	RulesRevision json.Number // of the rules
	Duration      time.Duration
	Timeout       time.Duration
	CallerLeft    bool // the caller left before the answer
	Attempts      []Attempt
}

// Attempt is one try at a back end.
type Attempt struct {
	ID                string  `json:"attempt"`
	Backend           string  `json:"backend"`
	DestinationNode   string  `json:"node"`
	ReportAgeSeconds  float64 `json:"age"` // seconds, of the report that chose the back end
	Slowdown          float64 `json:"pace"`
	Load              float64 `json:"load"`
	FastSeconds       float64 `json:"fast"`   // seconds since the back end turned fast, in logs of earlier versions
	OtherFastBackends float64 `json:"others"` // other back ends that were fast and had room
	Rerun             bool    `json:"rerun"`  // an earlier attempt could still run or have run
	DurationSeconds   float64 `json:"took"`   // seconds
	Outcome           string  `json:"outcome"`
	Reason            string  `json:"reason"`
	Status            int     `json:"status"`

	DestinationEvents []string `json:"-"` // what the destination node logged
}

// ErrNoEvents reports that no event is about the request: its lines may have been suppressed, or it was served.
var ErrNoEvents = errors.New("no event is about this request")

// Explain follows a request through events in the order of their stamps.
func Explain(request string, events []timeline.Event) (Explanation, error) {
	var w Explanation
	notes := map[string][]string{}
	for _, e := range events {
		switch event.Kind(e.Kind) {
		case event.CallEnded, event.CallFailed:
			if e.Fields["request"] == request {
				w.Calls = append(w.Calls, callOf(e))
			}
		case event.AttemptRefused, event.AttemptLost:
			id, _ := e.Fields["attempt"].(string)
			notes[id] = append(notes[id], noteOf(e))
		}
	}
	if len(w.Calls) == 0 {
		return w, ErrNoEvents
	}
	for i := range w.Calls {
		for j := range w.Calls[i].Attempts {
			a := &w.Calls[i].Attempts[j]
			a.DestinationEvents = notes[a.ID]
		}
	}
	return w, nil
}

func callOf(e timeline.Event) Call {
	c := Call{
		EntryNode: e.Process, Outcome: str(e, "outcome"), Reason: str(e, "reason"), Route: str(e, "route"), Service: str(e, "service"),
		Duration: span(e, "took"), Timeout: span(e, "given"), Status: int(num(e, "status")),
	}
	c.RulesRevision, _ = e.Fields["revision"].(json.Number)
	c.CallerLeft, _ = e.Fields["left"].(bool)
	raw, err := json.Marshal(e.Fields["attempts"])
	if err == nil {
		err = json.Unmarshal(raw, &c.Attempts)
	}
	if err != nil {
		c.Attempts = []Attempt{{Outcome: "unreadable", Reason: err.Error()}}
	}
	return c
}

func noteOf(e timeline.Event) string {
	if event.Kind(e.Kind) == event.AttemptLost {
		return fmt.Sprintf("%s: no response of the back end: %s", e.Process, str(e, "cause"))
	}
	return fmt.Sprintf("%s: refused (%s) with %.0f of %.0f at work, %.0f waiting, pace %.2f by a report %s old, back end %s",
		e.Process, str(e, "reason"), num(e, "inflight"), num(e, "limit"), num(e, "queued"), num(e, "pace"),
		span(e, "age").Round(time.Millisecond), str(e, "state"))
}

func str(e timeline.Event, key string) string {
	s, _ := e.Fields[key].(string)
	return s
}

func num(e timeline.Event, key string) float64 {
	n, _ := e.Fields[key].(json.Number)
	f, _ := n.Float64() // absent: 0
	return f
}

func span(e timeline.Event, key string) time.Duration { return seconds(num(e, key)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// String returns the walk as text, with the cause as its last line.
func (w Explanation) String() string {
	var b strings.Builder
	for _, c := range w.Calls {
		fmt.Fprintf(&b, "at %s: status %d, outcome %s after %s of %s; route %s, service %s, rules revision %s\n",
			c.EntryNode, c.Status, c.Outcome, c.Duration.Round(time.Millisecond), c.Timeout.Round(time.Millisecond), c.Route, c.Service, c.RulesRevision)
		for i, a := range c.Attempts {
			fmt.Fprintf(&b, "  %d. %s at %s, chosen by a report %s old (pace %.2f, load %.0f%s)%s: %s\n",
				i+1, a.Backend, a.DestinationNode, seconds(a.ReportAgeSeconds).Round(time.Millisecond), a.Slowdown, a.Load, a.seen(), a.again(), a.end())
			for _, n := range a.DestinationEvents {
				fmt.Fprintf(&b, "     %s\n", n)
			}
		}
		fmt.Fprintf(&b, "  cause: %s\n", c.why())
	}
	return b.String()
}

// seen tells what else was known when the back end was chosen.
func (a Attempt) seen() string {
	switch {
	case a.FastSeconds > 0:
		return fmt.Sprintf(", fast for %s", seconds(a.FastSeconds).Round(time.Millisecond))
	case a.OtherFastBackends > 0:
		return fmt.Sprintf(", %.0f others fast", a.OtherFastBackends)
	}
	return ""
}

// again marks an attempt beside or after one that may have run: a hedge, or a retry after a failure.
func (a Attempt) again() string {
	if !a.Rerun {
		return ""
	}
	return ", beside or after a run"
}

func (a Attempt) end() string {
	switch a.Outcome {
	case "answered":
		return fmt.Sprintf("status %d after %s", a.Status, seconds(a.DurationSeconds).Round(time.Millisecond))
	case "open":
		return "no answer when the call ended"
	}
	return fmt.Sprintf("%s, %s, after %s", a.Outcome, a.Reason, seconds(a.DurationSeconds).Round(time.Millisecond))
}

// why names what ended the call.
func (c Call) why() string {
	last := Attempt{}
	if len(c.Attempts) > 0 {
		last = c.Attempts[len(c.Attempts)-1]
	}
	switch {
	case c.CallerLeft:
		return "the caller left before an answer came"
	case len(c.Attempts) == 0:
		return "refused at the entry node before any attempt: " + c.Reason
	case last.Outcome == "answered" && last.Status >= 500:
		return fmt.Sprintf("back end %s answered with its own failure %d", last.Backend, last.Status)
	case last.Outcome == "answered":
		return "answered"
	case c.Outcome == "not-run":
		return fmt.Sprintf("refused (%s); every attempt is proven not run, the caller may come back", c.Reason)
	case last.Outcome == "open":
		return fmt.Sprintf("time passed while back end %s had not answered", last.Backend)
	}
	return fmt.Sprintf("%s at back end %s; it is not known whether the request ran", c.Reason, last.Backend)
}
