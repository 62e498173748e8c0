package message

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Buffer reads the body into memory if it has at most limit bytes, but no less than BufferedBodySize, and returns an
// error if it is truncated. With a limit above BufferedBodySize it also buffers bodies of unknown length, so that a
// truncated one never reaches the caller. A longer body stays a stream, and so does one for which memory, a budget in bytes that
// many replies share, has no room; a nil budget has always room.
func (r *Reply) Buffer(limit int, memory *semaphore.Weighted) error {
	limit = max(limit, BufferedBodySize)
	if r.Body == nil || r.Length == 0 || r.Length > limit || r.Length < 0 && limit <= BufferedBodySize {
		return nil
	}
	most := limit
	if r.Length > 0 {
		most = r.Length
	}
	b := &bufferedBody{memory: memory}
	whole, err := b.fill(r.Body, most)
	if err == nil && !whole {
		r.Body = &prefixedBody{Reader: io.MultiReader(b, r.Body), prefix: b, rest: r.Body}
		return nil
	}
	if err == nil && r.Length > 0 && len(b.data) != r.Length {
		err = io.ErrUnexpectedEOF
	}
	r.Close()
	r.Body = b
	if err != nil {
		r.Close()
		return err
	}
	r.Length = len(b.data)
	r.Buffered = true
	return nil
}

// unbudgetedSize is the part of each buffer that is not taken from the budget, in bytes. Behind a whole body, a read needs one free
// byte to return io.EOF.
const unbudgetedSize = BufferedBodySize + 1

// bufferedBody is a body, or the start of one, in memory. The memory returns to the budget once the body is read or closed.
type bufferedBody struct {
	data   []byte // not read yet
	memory *semaphore.Weighted
	taken  int64 // bytes from memory
}

// fill reads body until it ends, exceeds most bytes or finds no memory, and reports whether it has ended.
func (b *bufferedBody) fill(body io.Reader, most int) (whole bool, err error) {
	for len(b.data) <= most && b.grow(most) {
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// grow makes room for another read, with up to one byte more than most in all; false means that the budget has none.
func (b *bufferedBody) grow(most int) bool {
	if len(b.data) < cap(b.data) {
		return true
	}
	size := min(max(2*cap(b.data), unbudgetedSize), most+1)
	if more := int64(size-unbudgetedSize) - b.taken; more > 0 && b.memory != nil {
		if !b.memory.TryAcquire(more) {
			return false
		}
		b.taken += more
	}
	next := make([]byte, len(b.data), size)
	copy(next, b.data)
	b.data = next
	return true
}

// Read returns the bytes in memory and then io.EOF.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		_ = b.Close()
	}
	return n, nil
}

// Close drops what is left and returns its memory to the budget.
func (b *bufferedBody) Close() error {
	b.data = nil
	if b.taken > 0 {
		b.memory.Release(b.taken)
		b.taken = 0
	}
	return nil
}

// prefixedBody replays the part of a body that has been read and continues with the rest.
type prefixedBody struct {
	io.Reader
	prefix *bufferedBody
	rest   io.Closer
}

// Close closes both parts.
func (p *prefixedBody) Close() error {
	return errors.CombineErrors(p.prefix.Close(), p.rest.Close())
}
