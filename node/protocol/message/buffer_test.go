package message_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/node/protocol/message"
)

// Guards against a body that is cut, changed or taken as whole when memory is short, and against memory that is not given back
// after a body was read, closed or broken.
func TestBufferKeepsToMemory(t *testing.T) {
	const limit, unknown = 100_000, -1
	errBroken := errors.New("broken")
	for name, test := range map[string]struct {
		size     int // of the body, in bytes
		length   int // that its header names
		memory   int64
		buffered bool
		err      error
	}{
		"small":                     {4096, 4096, 0, true, nil},
		"small, unknown length":     {4096, unknown, 0, true, nil},
		"whole":                     {limit, limit, limit, true, nil},
		"whole, unknown length":     {limit, unknown, limit, true, nil},
		"empty, unknown length":     {0, unknown, limit, true, nil},
		"no room":                   {limit, limit, 10_000, false, nil},
		"no room, unknown length":   {limit, unknown, 10_000, false, nil},
		"too long":                  {limit + 1, unknown, 2 * limit, false, nil},
		"broken":                    {50_000, limit, limit, false, errBroken},
		"shorter than it announced": {limit - 1, limit, limit, false, io.ErrUnexpectedEOF},
	} {
		for _, end := range []string{"read", "closed", "closed within"} {
			t.Run(name+", "+end, func(t *testing.T) {
				content := strings.Repeat("c", test.size)
				var body io.Reader = strings.NewReader(content)
				if errors.Is(test.err, errBroken) {
					body = io.MultiReader(body, iotest.ErrReader(errBroken))
				}
				memory := semaphore.NewWeighted(test.memory)
				reply := &message.Reply{Length: test.length, Body: io.NopCloser(iotest.HalfReader(body))}
				if err := reply.Buffer(limit, memory); !errors.Is(err, test.err) || reply.Buffered != test.buffered {
					t.Fatalf("buffered %v, error %v", reply.Buffered, err)
				}
				if test.err == nil {
					endBody(t, reply, end, content)
				}
				if !memory.TryAcquire(test.memory) {
					t.Error("memory was not given back")
				}
			})
		}
	}
}

// endBody reads or closes a body.
func endBody(t *testing.T, reply *message.Reply, end, content string) {
	t.Helper()
	switch end {
	case "closed within":
		_, _ = io.ReadFull(reply.Body, make([]byte, 10))
		reply.Close()
	case "closed":
		reply.Close()
	case "read":
		if got, err := io.ReadAll(reply.Body); err != nil || string(got) != content {
			t.Errorf("%d bytes of %d, error %v", len(got), len(content), err)
		}
	}
}
