package protofield

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Writer appends fields in the order of its calls, so that equal values give equal bytes; zero values are left out.
type Writer struct{ buf []byte }

// Uint appends an unsigned number.
func (w *Writer) Uint(number int, v uint64) {
	if v == 0 {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.VarintType)
	w.buf = protowire.AppendVarint(w.buf, v)
}

// Int appends a signed number.
func (w *Writer) Int(number int, v int64) {
	w.Uint(number, protowire.EncodeZigZag(v))
}

// Bytes appends a byte string.
func (w *Writer) Bytes(number int, v []byte) {
	if len(v) == 0 {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	w.buf = protowire.AppendBytes(w.buf, v)
}

// String appends a text.
func (w *Writer) String(number int, v string) {
	if v == "" {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	w.buf = protowire.AppendString(w.buf, v)
}

// Nested appends the fields that f writes, also when there are none.
func (w *Writer) Nested(number int, f func(*Writer)) {
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	start := len(w.buf)
	f(w)
	size := uint64(len(w.buf) - start)
	head := protowire.SizeVarint(size)
	w.buf = append(w.buf, make([]byte, head)...)
	copy(w.buf[start+head:], w.buf[start:])
	protowire.AppendVarint(w.buf[:start], size)
}

// Grow makes room for n more bytes.
func (w *Writer) Grow(n int) { w.buf = slices.Grow(w.buf, n) }

// Encoded returns the bytes written.
func (w *Writer) Encoded() []byte { return w.buf }

// Field is one field read; Bytes points into the input.
type Field struct {
	Number int
	Uint   uint64
	Bytes  []byte
}

// Int returns the signed number of a field written by Writer.Int.
func (f Field) Int() int64 { return protowire.DecodeZigZag(f.Uint) }

// Text returns a copy of the bytes as a string.
func (f Field) Text() string { return string(f.Bytes) }

// Clone returns a copy of the bytes.
func (f Field) Clone() []byte { return append([]byte(nil), f.Bytes...) }

// ForEach calls visit for every field in order and stops at the first error.
func ForEach(b []byte, visit func(Field) error) error {
	for len(b) > 0 {
		f, n, err := next(b)
		if err != nil {
			return err
		}
		if err := visit(f); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func next(b []byte) (Field, int, error) {
	number, kind, n := protowire.ConsumeTag(b)
	if n < 0 {
		return Field{}, 0, errors.Wrap(protowire.ParseError(n), "read field tag")
	}
	f := Field{Number: int(number)}
	size := 0
	switch kind {
	case protowire.VarintType:
		f.Uint, size = protowire.ConsumeVarint(b[n:])
	case protowire.BytesType:
		f.Bytes, size = protowire.ConsumeBytes(b[n:])
	default:
		return Field{}, 0, errors.Newf("read field %d: unsupported wire type %d", number, kind)
	}
	if size < 0 {
		return Field{}, 0, errors.Wrapf(protowire.ParseError(size), "read field %d", number)
	}
	return f, n + size, nil
}
