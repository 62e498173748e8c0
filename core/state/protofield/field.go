package protofield

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Writer encodes fields in the order of the calls, so that equal values always have the same encoding. Zero values are
// omitted, as in proto3.
type Writer struct{ buf []byte }

// Uint appends an unsigned integer as a varint.
func (w *Writer) Uint(number int, v uint64) {
	if v == 0 {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.VarintType)
	w.buf = protowire.AppendVarint(w.buf, v)
}

// Int appends a signed integer as a zigzag varint.
func (w *Writer) Int(number int, v int64) {
	w.Uint(number, protowire.EncodeZigZag(v))
}

// Bytes appends a length-delimited byte string.
func (w *Writer) Bytes(number int, v []byte) {
	if len(v) == 0 {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	w.buf = protowire.AppendBytes(w.buf, v)
}

// BytesHead appends what precedes a byte string of the given size; the caller writes its bytes after Encoded.
func (w *Writer) BytesHead(number, size int) {
	if size == 0 {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	w.buf = protowire.AppendVarint(w.buf, uint64(size))
}

// String appends a length-delimited string.
func (w *Writer) String(number int, v string) {
	if v == "" {
		return
	}
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	w.buf = protowire.AppendString(w.buf, v)
}

// Nested appends a message with the fields that writeFields writes; an empty message is written too.
func (w *Writer) Nested(number int, writeFields func(*Writer)) {
	w.buf = protowire.AppendTag(w.buf, protowire.Number(number), protowire.BytesType)
	start := len(w.buf)
	writeFields(w)
	size := uint64(len(w.buf) - start)
	prefixSize := protowire.SizeVarint(size) // the size goes in front of the fields, which are moved back by prefixSize bytes
	w.buf = append(w.buf, make([]byte, prefixSize)...)
	copy(w.buf[start+prefixSize:], w.buf[start:])
	protowire.AppendVarint(w.buf[:start], size)
}

// Grow reserves capacity for n more bytes.
func (w *Writer) Grow(n int) { w.buf = slices.Grow(w.buf, n) }

// Reset drops all fields written so far and keeps the buffer, so that what Encoded returned before becomes invalid.
func (w *Writer) Reset() { w.buf = w.buf[:0] }

// Encoded returns the encoding of all fields written so far.
func (w *Writer) Encoded() []byte { return w.buf }

// Field is one decoded field: Uint holds a varint, Bytes a length-delimited value. Bytes aliases the input.
type Field struct {
	Number int
	Uint   uint64
	Bytes  []byte
}

// Int returns the signed integer of a field written by Writer.Int.
func (f Field) Int() int64 { return protowire.DecodeZigZag(f.Uint) }

// Text returns a copy of Bytes as a string.
func (f Field) Text() string { return string(f.Bytes) }

// Clone returns a copy of Bytes.
func (f Field) Clone() []byte { return append([]byte(nil), f.Bytes...) }

// ForEach decodes the fields of b and calls visit for each in order. It returns the first error of the decoding or of visit.
func ForEach(b []byte, visit func(Field) error) error {
	for len(b) > 0 {
		f, n, err := readField(b)
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

// readField decodes the first field of b and returns it with its encoded size in bytes.
func readField(b []byte) (Field, int, error) {
	number, wireType, n := protowire.ConsumeTag(b)
	if n < 0 {
		return Field{}, 0, errors.Wrap(protowire.ParseError(n), "read protobuf field tag")
	}
	f := Field{Number: int(number)}
	size := 0
	switch wireType {
	case protowire.VarintType:
		f.Uint, size = protowire.ConsumeVarint(b[n:])
	case protowire.BytesType:
		f.Bytes, size = protowire.ConsumeBytes(b[n:])
	default:
		return Field{}, 0, errors.Newf("read protobuf field %d: unsupported wire type %d", number, wireType)
	}
	if size < 0 {
		return Field{}, 0, errors.Wrapf(protowire.ParseError(size), "read protobuf field %d", number)
	}
	return f, n + size, nil
}
