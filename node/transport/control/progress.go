package control

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
)

// progress counts the bytes of a stream as they arrive. While a long message crosses a slow link, nothing else shows that its sender
// is alive.
type progress struct{ received atomic.Int64 }

// progressKey is the key of the progress in the context of a request.
type progressKey struct{}

// withProgress returns a context whose requests count the bytes of their response bodies in p.
func withProgress(ctx context.Context, p *progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// progressTransport is an http.RoundTripper that counts response bodies for requests with a progress in their context.
type progressTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	p, ok := req.Context().Value(progressKey{}).(*progress)
	if err == nil && ok {
		resp.Body = &countedBody{ReadCloser: resp.Body, progress: p}
	}
	return resp, err
}

// countedBody counts the bytes that are read from a body.
type countedBody struct {
	io.ReadCloser
	progress *progress
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.progress.received.Add(int64(n))
	return n, err
}
