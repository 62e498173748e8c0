package wal

import (
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

// encodeBatch returns the frame body of one append.
func encodeBatch(state HardState, entries []Entry) []byte {
	var w protofield.Writer
	w.Nested(1, state.Write)
	for _, e := range entries {
		w.Nested(2, e.Write)
	}
	return w.Encoded()
}

// encodeLogFile returns a whole log file and its checksum, which the next frame continues.
func encodeLogFile(c Content) ([]byte, uint32) {
	var w protofield.Writer
	logHeader{identity: c.Identity, snapshotIndex: c.Snapshot.Index, snapshotTerm: c.Snapshot.Term}.write(&w)
	b, checksum := appendFrame(titleLine(logTitle), 0, w.Encoded())
	return appendFrame(b, checksum, encodeBatch(c.HardState, c.Entries))
}

// Decode decodes a log file. The snapshot of the result has only Index and Term, because its data is in a file of its own.
// Torn is the number of bytes at the end that belong to an incomplete last write. The error is ErrUnsupportedFormat for a
// file of another format version and ErrCorrupt for a damaged one.
func Decode(raw []byte) (c Content, torn int, err error) {
	rest, err := readTitle(raw, logTitle)
	if err != nil {
		return Content{}, 0, err
	}
	frames := 0
	torn, err = readFrames(rest, func(body []byte) error {
		frames++
		if frames == 1 {
			return c.parseHeader(body)
		}
		return c.parseBatch(body)
	})
	if err == nil && frames < 2 {
		err = errors.Wrap(ErrCorrupt, "log file has no header or no hard state")
	}
	return c, torn, err
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

func encodeSnapshotFile(s Snapshot) []byte {
	var w protofield.Writer
	s.Write(&w)
	b, _ := appendFrame(titleLine(snapshotTitle), 0, w.Encoded())
	return b
}

func decodeSnapshotFile(raw []byte) (Snapshot, error) {
	var s Snapshot
	rest, err := readTitle(raw, snapshotTitle)
	if err != nil {
		return s, err
	}
	frames := 0
	torn, err := readFrames(rest, func(body []byte) error {
		frames++
		return s.Parse(body)
	})
	if err == nil && (torn > 0 || frames != 1) {
		err = errors.Wrapf(ErrCorrupt, "snapshot file has %d complete frames and %d torn bytes, want one frame", frames, torn)
	}
	return s, err
}
