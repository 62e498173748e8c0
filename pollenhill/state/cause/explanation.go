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

// Explanation holds what the events say about one request.
type Explanation struct {
	Calls []Call // in the order of their ends; several if the caller sent the request again
}

// Call is one arrival of the request at an entry node, from the event that the node logged at its end.
type Call struct {
	EntryNode     string
	Status        int // HTTP status
	Outcome       string
	Reason        string // of the refusal; empty if there was none
	Route         string
	Service       string
	RulesRevision json.Number
	Duration      time.Duration
	Timeout       time.Duration // from the arrival to the deadline
	CallerLeft    bool          // before the response
	Attempts      []Attempt     // in the order of their starts
}

// Attempt is one attempt of a call at a back end. The names of the type and the package are part of error texts of
// encoding/json, which String prints.
type Attempt struct {
	ID                string  `json:"attempt"`
	Backend           string  `json:"backend"`
	DestinationNode   string  `json:"node"`
	ReportAgeSeconds  float64 `json:"age"`    // age of the load hint by which the back end was chosen
	Slowdown          float64 `json:"pace"`   // factor on the service time; 1 is normal
	Load              float64 `json:"load"`   // requests at the back end or queued for it, as the entry node knew
	FastSeconds       float64 `json:"fast"`   // time since the back end became fast; only in logs of earlier versions
	OtherFastBackends float64 `json:"others"` // other back ends that were fast and had a free slot
	Rerun             bool    `json:"rerun"`  // an earlier attempt could still run or have run
	DurationSeconds   float64 `json:"took"`
	Outcome           string  `json:"outcome"`
	Reason            string  `json:"reason"` // of the refusal or failure
	Status            int     `json:"status"` // HTTP status, if the back end answered

	DestinationEvents []string `json:"-"` // descriptions of what the destination node logged
}

// ErrNoEvents reports that no event is about the request. Its lines may have been suppressed by the rate limits of the
// node's log, which are lower for requests that were served.
var ErrNoEvents = errors.New("no event is about this request")

// Explain collects what events say about the request with the given ID; events must be in the order of their
// timestamps. It returns ErrNoEvents if none of them is the end of a call of the request.
func Explain(request string, events []timeline.Event) (Explanation, error) {
	var explanation Explanation
	destinationEvents := map[string][]string{}
	for _, e := range events {
		switch event.Kind(e.Kind) {
		case event.CallEnded, event.CallFailed, event.KeyRefused:
			if e.Fields["request"] == request {
				explanation.Calls = append(explanation.Calls, newCall(e))
			}
		case event.AttemptRefused, event.AttemptLost:
			id, _ := e.Fields["attempt"].(string)
			destinationEvents[id] = append(destinationEvents[id], describeDestinationEvent(e))
		}
	}
	if len(explanation.Calls) == 0 {
		return explanation, ErrNoEvents
	}
	for i := range explanation.Calls {
		for j := range explanation.Calls[i].Attempts {
			a := &explanation.Calls[i].Attempts[j]
			a.DestinationEvents = destinationEvents[a.ID]
		}
	}
	return explanation, nil
}

func newCall(e timeline.Event) Call {
	c := Call{
		EntryNode: e.Process, Status: int(numberField(e, "status")),
		Outcome: stringField(e, "outcome"), Reason: stringField(e, "reason"),
		Route: stringField(e, "route"), Service: stringField(e, "service"),
		Duration: durationField(e, "took"), Timeout: durationField(e, "given"),
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

func describeDestinationEvent(e timeline.Event) string {
	if event.Kind(e.Kind) == event.AttemptLost {
		return fmt.Sprintf("%s: no response of the back end: %s", e.Process, stringField(e, "cause"))
	}
	return fmt.Sprintf("%s: refused (%s) with %.0f of %.0f at work, %.0f waiting, pace %.2f by a report %s old, back end %s",
		e.Process, stringField(e, "reason"), numberField(e, "inflight"), numberField(e, "limit"), numberField(e, "queued"),
		numberField(e, "pace"), durationField(e, "age").Round(time.Millisecond), stringField(e, "state"))
}

func stringField(e timeline.Event, key string) string {
	s, _ := e.Fields[key].(string)
	return s
}

func numberField(e timeline.Event, key string) float64 {
	n, _ := e.Fields[key].(json.Number)
	f, _ := n.Float64() // 0 if the field is absent
	return f
}

func durationField(e timeline.Event, key string) time.Duration {
	return secondsToDuration(numberField(e, key))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// String returns text with a line for every call, lines for its attempts, and the cause of its end as its last line.
func (e Explanation) String() string {
	var b strings.Builder
	for _, c := range e.Calls {
		fmt.Fprintf(&b, "at %s: status %d, outcome %s after %s of %s; route %s, service %s, rules revision %s\n",
			c.EntryNode, c.Status, c.Outcome, c.Duration.Round(time.Millisecond), c.Timeout.Round(time.Millisecond),
			c.Route, c.Service, c.RulesRevision)
		for i, a := range c.Attempts {
			fmt.Fprintf(&b, "  %d. %s at %s, chosen by a report %s old (pace %.2f, load %.0f%s)%s: %s\n",
				i+1, a.Backend, a.DestinationNode, secondsToDuration(a.ReportAgeSeconds).Round(time.Millisecond), a.Slowdown, a.Load,
				a.describeFastBackends(), a.describeRerun(), a.describeResult())
			for _, description := range a.DestinationEvents {
				fmt.Fprintf(&b, "     %s\n", description)
			}
		}
		fmt.Fprintf(&b, "  cause: %s\n", c.cause())
	}
	return b.String()
}

// describeFastBackends returns what the entry node knew about fast back ends at the choice of this one.
func (a Attempt) describeFastBackends() string {
	switch {
	case a.FastSeconds > 0:
		return fmt.Sprintf(", fast for %s", secondsToDuration(a.FastSeconds).Round(time.Millisecond))
	case a.OtherFastBackends > 0:
		return fmt.Sprintf(", %.0f others fast", a.OtherFastBackends)
	}
	return ""
}

// describeRerun marks an attempt beside or after one that may have run: a hedged attempt, or a retry after a failure.
func (a Attempt) describeRerun() string {
	if !a.Rerun {
		return ""
	}
	return ", beside or after a run"
}

func (a Attempt) describeResult() string {
	switch a.Outcome {
	case "answered":
		return fmt.Sprintf("status %d after %s", a.Status, secondsToDuration(a.DurationSeconds).Round(time.Millisecond))
	case "open":
		return "no answer when the call ended"
	}
	return fmt.Sprintf("%s, %s, after %s", a.Outcome, a.Reason, secondsToDuration(a.DurationSeconds).Round(time.Millisecond))
}

// cause returns what ended the call.
func (c Call) cause() string {
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
