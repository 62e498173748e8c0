package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/cockroachdb/errors"
)

// FormatVersion is the version of the files; files of any other version are refused.
const FormatVersion = 1

// A file is a title line with the format, then frames: size, checksum of the size, checksum of the
// body chained over all frames before, body, end mark. The mark is not zero and no single flipped bit
// makes it zero, so a frame whose end reads as zeros was never written completely.
const (
	logTitle      = "pollenhill log "
	snapshotTitle = "pollenhill snapshot "
	headSize      = 12
	endMark       = 0xff
)

// ErrCorrupt means that synced data cannot be verified; the data folder must be replaced.
var ErrCorrupt = errors.New("corrupt")

// ErrUnsupportedFormat means that a file was written in another format version.
var ErrUnsupportedFormat = errors.New("other format")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func title(kind string) []byte {
	return append(strconv.AppendInt([]byte(kind), FormatVersion, 10), '\n')
}

// appendFrame appends one frame and returns the checksum to chain the next one to.
func appendFrame(b []byte, chain uint32, body []byte) ([]byte, uint32) {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:at+4], castagnoli))
	chain = crc32.Update(chain, castagnoli, body)
	b = binary.LittleEndian.AppendUint32(b, chain)
	b = append(b, body...)
	return append(b, endMark), chain
}

// readTitle checks the title line and returns what follows it.
func readTitle(raw []byte, kind string) ([]byte, error) {
	rest, ok := bytes.CutPrefix(raw, []byte(kind))
	version, rest, end := bytes.Cut(rest, []byte("\n"))
	if !ok || !end {
		return nil, errors.Wrapf(ErrCorrupt, "title line is not %q with a version", kind)
	}
	if v, err := strconv.Atoi(string(version)); err != nil || v != FormatVersion {
		return nil, errors.Wrapf(ErrUnsupportedFormat, "file has format %q, this program reads format %d", version, FormatVersion)
	}
	return rest, nil
}

// readFrames calls visit for each frame and returns how many bytes at the end are a torn write.
func readFrames(raw []byte, visit func(body []byte) error) (torn int, err error) {
	chain := uint32(0)
	written := len(bytes.TrimRight(raw, "\x00"))
	for at := 0; at < len(raw); {
		body, size, err := readFrame(raw[at:], written-at, &chain)
		if err != nil {
			return 0, errors.Wrapf(err, "frame at byte %d", at)
		}
		if size == 0 {
			return len(raw) - at, nil
		}
		if err := visit(body); err != nil {
			return 0, errors.Wrapf(err, "frame at byte %d", at)
		}
		at += size
	}
	return 0, nil
}

// readFrame returns the body and the size of the first frame; size 0 means a torn write. Written is how many
// bytes come before the zeros at the end.
func readFrame(raw []byte, written int, chain *uint32) (body []byte, size int, err error) {
	if written < headSize {
		return nil, 0, nil
	}
	if crc32.Checksum(raw[:4], castagnoli) != binary.LittleEndian.Uint32(raw[4:]) {
		return nil, 0, errors.Wrap(ErrCorrupt, "checksum of the size")
	}
	length := uint64(binary.LittleEndian.Uint32(raw))
	if uint64(written) < headSize+length+1 {
		return nil, 0, nil
	}
	body = raw[headSize : headSize+length]
	sum := crc32.Update(*chain, castagnoli, body)
	if sum != binary.LittleEndian.Uint32(raw[8:]) || raw[headSize+length] != endMark {
		return nil, 0, errors.Wrap(ErrCorrupt, "checksum of the body")
	}
	*chain = sum
	return body, int(headSize + length + 1), nil
}
