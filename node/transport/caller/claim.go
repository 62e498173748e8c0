package caller

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/protocol/message"
)

// Bounds of claims.
const (
	maxRecord   = 16 << 10               // bytes of a recorded answer
	firstPause  = 15 * time.Millisecond  // before the second question for a key that another attempt owns; doubles
	heldPause   = 240 * time.Millisecond // longest pause, since each question is a log entry of the control group
	recordLimit = 10 * time.Second       // longest try to record or release
)

// owner identifies the call at the control group; every claim of the call uses it.
func (r *run) owner() string {
	return r.s.cfg.ClaimOwnerPrefix + strconv.FormatUint(uint64(r.id), 10)
}

// claim asks for the key until it is granted, decided otherwise or the deadline passes.
func (r *run) claim() {
	r.s.work.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.req.Deadline)
		defer cancel()
		r.s.cfg.Engine.UpdateCall(call.Claimed{Call: r.id, Verdict: r.verdict(ctx)})
	})
}

func (r *run) verdict(ctx context.Context) call.Verdict {
	req := &control.ClaimRequest{Service: r.req.Service, Key: r.req.IdempotencyKey, Attempt: r.owner(), Print: r.print()}
	last := call.ClaimFailed
	for pause := firstPause; ; pause = min(2*pause, heldPause) {
		resp, err := r.s.cfg.Claims.Claim(ctx, req)
		if err != nil {
			return last
		}
		switch resp.GetVerdict() {
		case control.Verdict_VERDICT_GRANTED:
			return call.Granted
		case control.Verdict_VERDICT_DONE:
			r.stored <- resp.GetAnswer()
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
		case <-time.After(pause):
		}
	}
}

// print identifies the request, so that a key is not used for another one.
func (r *run) print() uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{r.req.Header.Method(), r.req.Header.RequestURI(), r.req.Body} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + " ")
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

func (r *run) release() {
	req := &control.ReleaseRequest{Service: r.req.Service, Key: r.req.IdempotencyKey, Attempt: r.owner()}
	r.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
		defer cancel()
		// Without a release later requests with the key get unknown, which is true but unhelpful.
		_ = r.s.cfg.Claims.Release(ctx, req)
	})
}

// record reads the answer of a keyed call, hands it to the caller and records it for later requests with the key.
// A larger answer is not recorded: a replay must be complete.
func (r *run) record(id attempt.ID, t *try) {
	if t.reply.Body == nil {
		r.finish(t.reply, nil)
		r.give(t.reply)
		r.ended(id, t)
		return
	}
	r.recording.Add(1)
	r.s.work.Go(func() {
		defer r.recording.Done()
		body, err := io.ReadAll(io.LimitReader(t.reply.Body, maxRecord+1))
		switch {
		case err != nil:
			t.reply.Close()
			r.give(r.broken())
		case len(body) > maxRecord:
			t.reply.Body = joined{Reader: io.MultiReader(bytes.NewReader(body), t.reply.Body), Closer: t.reply.Body}
			r.give(t.reply)
		default:
			t.reply.Close()
			t.reply.Body = io.NopCloser(bytes.NewReader(body))
			t.reply.Length = len(body)
			r.finish(t.reply, body)
			r.give(t.reply)
		}
	})
}

type joined struct {
	io.Reader
	io.Closer
}

func (r *run) finish(reply *message.Reply, body []byte) {
	req := &control.FinishRequest{
		Service: r.req.Service,
		Key:     r.req.IdempotencyKey,
		Attempt: r.owner(),
		Answer: &control.Answer{
			Status: uint32(reply.Header.StatusCode()),
			Type:   string(reply.Header.ContentType()),
			Body:   body,
		},
	}
	r.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
		defer cancel()
		_ = r.s.cfg.Claims.Finish(ctx, req)
	})
}

// replay answers with the response to an earlier request with the same key.
func (r *run) replay() {
	select {
	case stored := <-r.stored:
		r.give(replayed(stored))
	default:
	}
}

func replayed(stored *control.Answer) *message.Reply {
	reply := &message.Reply{Outcome: attempt.Answered}
	reply.Header.SetNoDefaultContentType(true)
	reply.Header.SetStatusCode(int(stored.GetStatus()))
	reply.Header.SetContentType(stored.GetType())
	if body := stored.GetBody(); len(body) > 0 {
		reply.Length = len(body)
		reply.Body = io.NopCloser(bytes.NewReader(body))
	}
	return reply
}
