package wal

import (
	"io"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// logHeader is the body of the first frame of a log file; the other frames are batches.
type logHeader struct {
	identity      []byte
	snapshotIndex uint64 // of the snapshot that precedes the first entry, 0 for none
	snapshotTerm  uint64
}

func (h logHeader) write(w *protofield.Writer) {
	w.Bytes(1, h.identity)
	w.Uint(2, h.snapshotIndex)
	w.Uint(3, h.snapshotTerm)
}

func (h *logHeader) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			h.identity = f.Clone()
		case 2:
			h.snapshotIndex = f.Uint
		case 3:
			h.snapshotTerm = f.Uint
		}
		return nil
	})
}

// writeBatch appends the fields of one append to w.
func writeBatch(w *protofield.Writer, state HardState, entries []Entry) {
	w.Nested(1, state.Write)
	for _, e := range entries {
		w.Nested(2, e.Write)
	}
}

// rewriteBatchBytes bounds the entries in one frame of a rewritten log file, unless a single entry is larger, in bytes of
// their data. Neither writing nor reading such a file holds more than one frame beside the entries.
const rewriteBatchBytes = 1 << 20

// logFile is a whole log file to be written.
type logFile struct {
	content  Content
	checksum uint32 // of all frames, once written; the next frame continues it
	size     int64  // once written, in bytes
}

// WriteTo writes the file.
func (f *logFile) WriteTo(w io.Writer) (int64, error) {
	c := f.content
	out := newFrameWriter(w, logTitle)
	var body protofield.Writer
	logHeader{identity: c.Identity, snapshotIndex: c.Snapshot.Index, snapshotTerm: c.Snapshot.Term}.write(&body)
	out.writeFrame(body.Encoded())
	rest := c.Entries
	for first := true; first || len(rest) > 0; first = false {
		n := batchLen(rest)
		body.Reset()
		writeBatch(&body, c.HardState, rest[:n])
		out.writeFrame(body.Encoded())
		rest = rest[n:]
	}
	f.checksum, f.size = out.checksum, out.size
	return out.size, out.err
}

// batchLen returns how many of the entries fit into one frame of a rewritten log file, at least one if there are any.
func batchLen(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > rewriteBatchBytes {
			return i
		}
	}
	return len(entries)
}

// Decode decodes a log file. The snapshot of the result has only Index and Term, because its data is in a file of its own.
// Torn is the number of bytes at the end that belong to an incomplete last write. The error is ErrUnsupportedFormat for a
// file of another format version and ErrCorrupt for a damaged one.
func Decode(file io.ReadSeeker) (c Content, torn int, err error) {
	r, err := newFrameReader(file, logTitle)
	if err != nil {
		return Content{}, 0, err
	}
	frames := 0
	for {
		body, ok, err := r.next()
		switch {
		case err != nil:
			return c, 0, err
		case !ok && frames < 2:
			return c, 0, errors.Wrap(ErrCorrupt, "log file has no header or no hard state")
		case !ok:
			return c, r.torn(), nil
		case frames == 0:
			err = c.parseHeader(body)
		default:
			err = c.parseBatch(body)
		}
		if err != nil {
			return c, 0, errors.Wrapf(err, "frame before byte %d", r.offset)
		}
		frames++
	}
}

func (c *Content) parseHeader(body []byte) error {
	var h logHeader
	if err := h.parse(body); err != nil {
		return errors.Mark(err, ErrCorrupt)
	}
	c.Identity = h.identity
	c.Snapshot = Snapshot{Index: h.snapshotIndex, Term: h.snapshotTerm}
	return nil
}

func (c *Content) parseBatch(body []byte) error {
	err := protofield.ForEach(body, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.HardState = HardState{}
			return c.HardState.Parse(f.Bytes)
		case 2:
			var e Entry
			if err := e.Parse(f.Bytes); err != nil {
				return err
			}
			return c.appendEntry(e)
		}
		return nil
	})
	if err != nil {
		return errors.Mark(err, ErrCorrupt)
	}
	return nil
}

// appendEntry appends e; if an entry with its index exists, e replaces it and all entries after it.
func (c *Content) appendEntry(e Entry) error {
	first := c.Snapshot.Index + 1
	next := first + uint64(len(c.Entries))
	if e.Index < first || e.Index > next {
		return errors.Newf("entry index %d is not between %d and %d", e.Index, first, next)
	}
	c.Entries = append(c.Entries[:e.Index-first], e)
	return nil
}

// snapshotFile is a whole snapshot file to be written.
type snapshotFile Snapshot

// WriteTo writes the file.
func (f snapshotFile) WriteTo(w io.Writer) (int64, error) {
	var head protofield.Writer
	s := Snapshot(f)
	s.writeHead(&head)
	out := newFrameWriter(w, snapshotTitle)
	out.writeFrame(head.Encoded(), s.Data)
	return out.size, out.err
}

func decodeSnapshotFile(file io.ReadSeeker) (Snapshot, error) {
	r, err := newFrameReader(file, snapshotTitle)
	if err != nil {
		return Snapshot{}, err
	}
	body, ok, err := r.next()
	if err != nil {
		return Snapshot{}, err
	}
	if !ok || r.torn() > 0 {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "snapshot file has %d bytes beside complete frames, want one complete frame", r.torn())
	}
	var s Snapshot
	err = s.Parse(body) // the reader is not used again, so that the snapshot may keep the body
	return s, err
}
