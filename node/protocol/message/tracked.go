package message

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// TrackedBody is a body that reports its end once, with the result that fits how it ended.
type TrackedBody[R any] struct {
	io.ReadCloser
	Complete R // result of a body that was read to its end
	Failed   R // result of a body that failed before its end
	Closed   R // result of a body that was closed before its end
	Done     func(R)
	once     sync.Once
}

// Read reads the body.
func (t *TrackedBody[R]) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		t.once.Do(func() { t.Done(t.Complete) })
	case err != nil:
		t.once.Do(func() { t.Done(t.Failed) })
	}
	return n, err
}

// Close abandons what has not been read.
func (t *TrackedBody[R]) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(func() { t.Done(t.Closed) })
	return err
}
