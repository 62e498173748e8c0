package caller

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/protocol/message"
)

// Limits of claims and of the responses recorded for them.
const (
	maxRecordedBody = 16 << 10               // bytes of a response body that is recorded for replay
	minClaimBackoff = 15 * time.Millisecond  // before the second claim of a key that another call holds; doubles
	maxClaimBackoff = 240 * time.Millisecond // keeps the load low, as each claim is a log entry of the control processes
	recordTimeout   = 10 * time.Second       // for recording a response or releasing a claim
)

// claimOwner returns the owner ID in all claims of this call.
func (r *callRunner) claimOwner() string {
	return r.server.cfg.ClaimOwnerPrefix + strconv.FormatUint(uint64(r.id), 10)
}

// acquireClaim claims the idempotency key in the background and reports the verdict to the engine.
func (r *callRunner) acquireClaim() {
	r.server.background.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.req.Deadline)
		defer cancel()
		r.server.cfg.Engine.UpdateCall(call.Claimed{Call: r.id, Verdict: r.claimVerdict(ctx)})
	})
}

// claimVerdict claims the key until it is granted or refused. While another call holds it, it retries with exponential
// backoff until ctx ends, and then returns the last verdict.
func (r *callRunner) claimVerdict(ctx context.Context) call.Verdict {
	req := &control.ClaimRequest{Service: r.req.Service, Key: r.req.IdempotencyKey, Attempt: r.claimOwner(), Print: r.fingerprint()}
	last := call.ClaimFailed
	for backoff := minClaimBackoff; ; backoff = min(2*backoff, maxClaimBackoff) {
		resp, err := r.server.cfg.Claims.Claim(ctx, req)
		if err != nil {
			return last
		}
		switch resp.GetVerdict() {
		case control.Verdict_VERDICT_GRANTED:
			return call.Granted
		case control.Verdict_VERDICT_DONE:
			r.storedAnswer <- resp.GetAnswer()
			return call.AlreadyDone
		case control.Verdict_VERDICT_MISMATCH:
			return call.Mismatch
		case control.Verdict_VERDICT_HELD:
			last = call.Held
		case control.Verdict_VERDICT_UNSPECIFIED:
			return call.ClaimFailed
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(backoff):
		}
	}
}

// fingerprint returns a hash of method, target and body, by which a key that is reused for a different request is refused.
func (r *callRunner) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{r.req.Header.Method(), r.req.Header.RequestURI(), r.req.Body} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + " ")
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

func (r *callRunner) releaseClaim() {
	req := &control.ReleaseRequest{Service: r.req.Service, Key: r.req.IdempotencyKey, Attempt: r.claimOwner()}
	r.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		// If the release is lost, later requests with the key get the outcome unknown: correct, but not useful to the caller.
		_ = r.server.cfg.Claims.Release(ctx, req)
	})
}

// recordAndDeliver delivers the response of a keyed call and records it for later requests with the same key. A response
// with more than maxRecordedBody bytes is only delivered, as a replay must be complete; one whose body fails is replaced by
// brokenReply.
func (r *callRunner) recordAndDeliver(id attempt.ID, state *attemptState) {
	if state.reply.Body == nil {
		r.finishClaim(state.reply, nil)
		r.sendReply(state.reply)
		r.reportEnded(id, state)
		return
	}
	r.recordings.Add(1)
	r.server.background.Go(func() {
		defer r.recordings.Done()
		body, err := io.ReadAll(io.LimitReader(state.reply.Body, maxRecordedBody+1))
		switch {
		case err != nil:
			state.reply.Close()
			r.sendReply(r.brokenReply())
		case len(body) > maxRecordedBody:
			state.reply.Body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), state.reply.Body), Closer: state.reply.Body}
			r.sendReply(state.reply)
		default:
			state.reply.Close()
			state.reply.Body = io.NopCloser(bytes.NewReader(body))
			state.reply.Length = len(body)
			state.reply.Buffered = true
			r.finishClaim(state.reply, body)
			r.sendReply(state.reply)
		}
	})
}

// prefixedBody reads the buffered start of a body and then the rest of it; Close closes the original body.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// finishClaim records the response at the control processes in the background.
func (r *callRunner) finishClaim(reply *message.Reply, body []byte) {
	req := &control.FinishRequest{
		Service: r.req.Service,
		Key:     r.req.IdempotencyKey,
		Attempt: r.claimOwner(),
		Answer: &control.Answer{
			Status: uint32(reply.Header.StatusCode()),
			Type:   string(reply.Header.ContentType()),
			Body:   body,
		},
	}
	r.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		_ = r.server.cfg.Claims.Finish(ctx, req)
	})
}

// deliverStored delivers the recorded response to an earlier request with the same key, if the claim returned one.
func (r *callRunner) deliverStored() {
	select {
	case answer := <-r.storedAnswer:
		if isFinalStatus(answer.GetStatus()) {
			r.sendReply(storedReply(answer))
			return
		}
		r.sendReply(r.brokenReply())
	default:
	}
}

// maxStatus is the highest status of a response in HTTP.
const maxStatus = 599

// isFinalStatus reports whether a recorded status is one of a final response. Without one, the reply would be sent as a 200.
func isFinalStatus(status uint32) bool {
	return status >= fasthttp.StatusOK && status <= maxStatus
}

func storedReply(answer *control.Answer) *message.Reply {
	reply := &message.Reply{Outcome: attempt.Answered}
	reply.Header.SetNoDefaultContentType(true)
	reply.Header.SetStatusCode(int(answer.GetStatus()))
	reply.Header.SetContentType(answer.GetType())
	if body := answer.GetBody(); len(body) > 0 {
		reply.Length = len(body)
		reply.Buffered = true
		reply.Body = io.NopCloser(bytes.NewReader(body))
	}
	return reply
}
