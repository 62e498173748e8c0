package message

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// TrackedBody is a body that calls Done once, when it ends, with the result for the way in which it ended.
type TrackedBody[R any] struct {
	io.ReadCloser
	Complete R // result if the body was read to EOF
	Failed   R // result if a read failed before EOF
	Closed   R // result if the body was closed before EOF
	Done     func(R)
	once     sync.Once
}

// Read reads from the body and calls Done at EOF or at the first error.
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

// Close closes the body and calls Done unless a read has.
func (t *TrackedBody[R]) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(func() { t.Done(t.Closed) })
	return err
}
