package message

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Tracked is a body that reports its end once, with the result that fits how it ended.
type Tracked[R any] struct {
	io.ReadCloser
	Whole  R // result of a body that was read to its end
	Cut    R // result of a body that failed before its end
	Closed R // result of a body that was closed before its end
	Done   func(R)
	once   sync.Once
}

// Read reads the body.
func (t *Tracked[R]) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		t.once.Do(func() { t.Done(t.Whole) })
	case err != nil:
		t.once.Do(func() { t.Done(t.Cut) })
	}
	return n, err
}

// Close abandons what has not been read.
func (t *Tracked[R]) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(func() { t.Done(t.Closed) })
	return err
}
