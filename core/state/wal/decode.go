package wal

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// head is the first frame of a log file.
type head struct {
	meta  []byte
	index uint64 // of the snapshot that the log starts from
	term  uint64
}

func (h head) write(w *protofield.Writer) {
	w.Bytes(1, h.meta)
	w.Uint(2, h.index)
	w.Uint(3, h.term)
}

func (h *head) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			h.meta = f.Clone()
		case 2:
			h.index = f.Uint
		case 3:
			h.term = f.Uint
		}
		return nil
	})
}

func encodeBatch(state HardState, entries []Entry) []byte {
	var w protofield.Writer
	w.Nested(1, state.Write)
	for _, e := range entries {
		w.Nested(2, e.Write)
	}
	return w.Encoded()
}

// encodeLog returns a whole log file and the checksum to chain the next frame to.
func encodeLog(c Content) ([]byte, uint32) {
	var w protofield.Writer
	head{meta: c.Identity, index: c.Snapshot.Index, term: c.Snapshot.Term}.write(&w)
	b, chain := appendFrame(title(logTitle), 0, w.Encoded())
	return appendFrame(b, chain, encodeBatch(c.HardState, c.Entries))
}

// Decode reads a log file; the snapshot of the result has only Index and Term. Torn is the number of bytes
// at the end that were never written completely.
func Decode(raw []byte) (c Content, torn int, err error) {
	rest, err := readTitle(raw, logTitle)
	if err != nil {
		return Content{}, 0, err
	}
	frames := 0
	torn, err = readFrames(rest, func(body []byte) error {
		frames++
		if frames == 1 {
			return c.readHead(body)
		}
		return c.readBatch(body)
	})
	if err == nil && frames < 2 {
		err = errors.Wrap(ErrCorrupt, "log has no head or no state")
	}
	return c, torn, err
}

func (c *Content) readHead(body []byte) error {
	var h head
	if err := h.parse(body); err != nil {
		return errors.Mark(err, ErrCorrupt)
	}
	c.Identity = h.meta
	c.Snapshot = Snapshot{Index: h.index, Term: h.term}
	return nil
}

func (c *Content) readBatch(body []byte) error {
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
			return c.append(e)
		}
		return nil
	})
	if err != nil {
		return errors.Mark(err, ErrCorrupt)
	}
	return nil
}

// append adds an entry; one with an index that exists replaces it and all after it.
func (c *Content) append(e Entry) error {
	first := c.Snapshot.Index + 1
	next := first + uint64(len(c.Entries))
	if e.Index < first || e.Index > next {
		return errors.Newf("entry %d follows entry %d", e.Index, next-1)
	}
	c.Entries = append(c.Entries[:e.Index-first], e)
	return nil
}

func encodeSnapshot(s Snapshot) []byte {
	var w protofield.Writer
	s.Write(&w)
	b, _ := appendFrame(title(snapshotTitle), 0, w.Encoded())
	return b
}

func decodeSnapshot(raw []byte) (Snapshot, error) {
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
		err = errors.Wrap(ErrCorrupt, "snapshot is incomplete")
	}
	return s, err
}
