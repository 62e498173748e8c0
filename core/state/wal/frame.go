package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"strconv"

	"github.com/cockroachdb/errors"
)

// FormatVersion is the version of the file format; files of any other version are refused.
const FormatVersion = 1

// A file is a title line with the format version, followed by frames. All integers are little endian, all checksums CRC-32C.
// A frame consists of
//
//	4 bytes  size of the body
//	4 bytes  checksum of the size
//	4 bytes  checksum of the bodies of all frames up to and including this one
//	n bytes  body
//	1 byte   end mark
//
// The end mark tells a torn write from corruption: it is not zero, and no single flipped bit makes it zero, so a frame whose
// end reads as zeros was never written completely.
const (
	logTitle        = "pollenhill log "
	snapshotTitle   = "pollenhill snapshot "
	frameHeaderSize = 12 // bytes
	endMark         = 0xff
)

// ErrCorrupt means that synced data fails its checksum or is missing; the data folder must be replaced.
var ErrCorrupt = errors.New("corrupt")

// ErrUnsupportedFormat means that a file has a format version other than FormatVersion.
var ErrUnsupportedFormat = errors.New("unsupported format")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func titleLine(prefix string) []byte {
	return append(strconv.AppendInt([]byte(prefix), FormatVersion, 10), '\n')
}

// appendFrame appends one frame to b. The checksum of the frames before it, 0 for the first, is passed in, and the one that
// includes it returned.
func appendFrame(b []byte, checksum uint32, body []byte) ([]byte, uint32) {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:start+4], castagnoli))
	checksum = crc32.Update(checksum, castagnoli, body)
	b = binary.LittleEndian.AppendUint32(b, checksum)
	b = append(b, body...)
	return append(b, endMark), checksum
}

// readTitle checks the title line and returns what follows it.
func readTitle(raw []byte, prefix string) ([]byte, error) {
	rest, ok := bytes.CutPrefix(raw, []byte(prefix))
	version, rest, complete := bytes.Cut(rest, []byte("\n"))
	if !ok || !complete {
		return nil, errors.Wrapf(ErrCorrupt, "title line is not %q with a version", prefix)
	}
	if v, err := strconv.Atoi(string(version)); err != nil || v != FormatVersion {
		return nil, errors.Wrapf(ErrUnsupportedFormat, "file has format version %q, this program reads version %d", version, FormatVersion)
	}
	return rest, nil
}

// readFrames calls visit with the body of each frame and returns the number of bytes at the end that are a torn write.
func readFrames(raw []byte, visit func(body []byte) error) (torn int, err error) {
	checksum := uint32(0)
	written := len(bytes.TrimRight(raw, "\x00"))
	for offset := 0; offset < len(raw); {
		body, size, err := readFrame(raw[offset:], written-offset, &checksum)
		if err != nil {
			return 0, errors.Wrapf(err, "frame at byte %d", offset)
		}
		if size == 0 {
			return len(raw) - offset, nil
		}
		if err := visit(body); err != nil {
			return 0, errors.Wrapf(err, "frame at byte %d", offset)
		}
		offset += size
	}
	return 0, nil
}

// readFrame returns the body and the size of the first frame of raw; size 0 means that it is a torn write. Written is the
// number of bytes before the zeros at the end of the file: a frame that reaches beyond them has no end mark. The checksum of
// the frames before is updated to include this one.
func readFrame(raw []byte, written int, checksum *uint32) (body []byte, size int, err error) {
	if written < frameHeaderSize {
		return nil, 0, nil
	}
	if crc32.Checksum(raw[:4], castagnoli) != binary.LittleEndian.Uint32(raw[4:]) {
		return nil, 0, errors.Wrap(ErrCorrupt, "size of the frame does not match its checksum")
	}
	length := uint64(binary.LittleEndian.Uint32(raw))
	if uint64(written) < frameHeaderSize+length+1 {
		return nil, 0, nil
	}
	body = raw[frameHeaderSize : frameHeaderSize+length]
	sum := crc32.Update(*checksum, castagnoli, body)
	if sum != binary.LittleEndian.Uint32(raw[8:]) || raw[frameHeaderSize+length] != endMark {
		return nil, 0, errors.Wrap(ErrCorrupt, "body of the frame does not match its checksum or lacks the end mark")
	}
	*checksum = sum
	return body, int(frameHeaderSize + length + 1), nil
}
