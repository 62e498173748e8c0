package wal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"
	"strconv"
	"strings"

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

// frameHeader returns the header of a frame with a body of the given size and the checksum of all bodies up to that one.
func frameHeader(size int, checksum uint32) [frameHeaderSize]byte {
	var b [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(b[:], uint32(size))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[:4], castagnoli))
	binary.LittleEndian.PutUint32(b[8:], checksum)
	return b
}

// appendFrame appends one frame to b. The checksum of the frames before it, 0 for the first, is passed in, and the one that
// includes it returned.
func appendFrame(b []byte, checksum uint32, body []byte) ([]byte, uint32) {
	checksum = crc32.Update(checksum, castagnoli, body)
	header := frameHeader(len(body), checksum)
	b = slices.Grow(b, frameHeaderSize+len(body)+1)
	b = append(b, header[:]...)
	b = append(b, body...)
	return append(b, endMark), checksum
}

// frameWriter writes a file frame by frame.
type frameWriter struct {
	w        io.Writer
	checksum uint32 // of the bodies of all frames
	size     int64  // of the file, in bytes
	err      error  // first error of w; nothing is written after it
}

// newFrameWriter returns a frameWriter that has written the title line.
func newFrameWriter(w io.Writer, titlePrefix string) *frameWriter {
	f := &frameWriter{w: w}
	f.write(titleLine(titlePrefix))
	return f
}

// writeFrame writes one frame, whose body is the concatenation of parts.
func (f *frameWriter) writeFrame(parts ...[]byte) {
	size := 0
	for _, part := range parts {
		size += len(part)
		f.checksum = crc32.Update(f.checksum, castagnoli, part)
	}
	header := frameHeader(size, f.checksum)
	f.write(header[:])
	for _, part := range parts {
		f.write(part)
	}
	f.write([]byte{endMark})
}

func (f *frameWriter) write(b []byte) {
	if f.err != nil {
		return
	}
	n, err := f.w.Write(b)
	f.size += int64(n)
	f.err = err
}

// checkTitle checks the title line of a file, without its newline.
func checkTitle(line, prefix string) error {
	version, ok := strings.CutPrefix(line, prefix)
	if !ok {
		return errors.Wrapf(ErrCorrupt, "title line is not %q with a version", prefix)
	}
	if v, err := strconv.Atoi(version); err != nil || v != FormatVersion {
		return errors.Wrapf(ErrUnsupportedFormat, "file has format version %q, this program reads version %d", version, FormatVersion)
	}
	return nil
}

// frameReader reads a file frame by frame and holds one frame at a time.
type frameReader struct {
	r        *bufio.Reader
	offset   int64 // of the next frame, from the end of the title line
	size     int64 // of all that follows the title line
	written  int64 // as size, without the zeros at the end of the file: a frame that reaches beyond it has no end mark
	checksum uint32
	body     []byte // of the last frame, reused for the next one
}

// readBufferSize is how many bytes of small frames are read at once.
const readBufferSize = 256 << 10

// newFrameReader checks the title line and returns a reader of the frames after it.
func newFrameReader(file io.ReadSeeker, titlePrefix string) (*frameReader, error) {
	size, written, err := contentSize(file)
	if err != nil {
		return nil, err
	}
	r := bufio.NewReaderSize(file, readBufferSize)
	title, err := r.ReadSlice('\n')
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, errors.Wrap(err, "read title line")
	}
	line, complete := strings.CutSuffix(string(title), "\n")
	if !complete {
		return nil, errors.Wrapf(ErrCorrupt, "title line is not %q with a version", titlePrefix)
	}
	titleSize := int64(len(title))
	return &frameReader{r: r, size: size - titleSize, written: written - titleSize}, checkTitle(line, titlePrefix)
}

// readBlockSize is the size of the blocks in which contentSize reads, in bytes.
const readBlockSize = 64 << 10

// contentSize returns the size of a file and its size without the zeros at its end, and goes back to the start of the file.
func contentSize(file io.ReadSeeker) (size, written int64, err error) {
	if size, err = file.Seek(0, io.SeekEnd); err != nil {
		return 0, 0, err
	}
	block := make([]byte, min(size, readBlockSize))
	for written = size; written > 0; {
		start := max(0, written-readBlockSize)
		part := block[:written-start]
		if _, err := file.Seek(start, io.SeekStart); err != nil {
			return 0, 0, err
		}
		if _, err := io.ReadFull(file, part); err != nil {
			return 0, 0, err
		}
		nonZero := len(bytes.TrimRight(part, "\x00"))
		written = start + int64(nonZero)
		if nonZero > 0 {
			break
		}
	}
	_, err = file.Seek(0, io.SeekStart)
	return size, written, err
}

// next returns the body of the next frame, which is valid until the next call, or nil and false after the last complete frame.
func (r *frameReader) next() ([]byte, bool, error) {
	body, err := r.readFrame()
	if err != nil {
		return nil, false, errors.Wrapf(err, "frame at byte %d", r.offset)
	}
	if body == nil {
		return nil, false, nil
	}
	r.offset += frameHeaderSize + int64(len(body)) + 1
	return body, true, nil
}

// torn returns the number of bytes after the last complete frame; they are a torn write.
func (r *frameReader) torn() int { return int(r.size - r.offset) }

// readFrame returns the body of the next frame, or nil if the rest of the file is a torn write or empty.
func (r *frameReader) readFrame() ([]byte, error) {
	left := r.written - r.offset
	if left < frameHeaderSize {
		return nil, nil
	}
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return nil, err
	}
	if crc32.Checksum(header[:4], castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errors.Wrap(ErrCorrupt, "size of the frame does not match its checksum")
	}
	length := int64(binary.LittleEndian.Uint32(header[:]))
	if left < frameHeaderSize+length+1 {
		return nil, nil
	}
	r.body = slices.Grow(r.body[:0], int(length)+1)[:length+1]
	if _, err := io.ReadFull(r.r, r.body); err != nil {
		return nil, err
	}
	body := r.body[:length]
	r.checksum = crc32.Update(r.checksum, castagnoli, body)
	if r.checksum != binary.LittleEndian.Uint32(header[8:]) || r.body[length] != endMark {
		return nil, errors.Wrap(ErrCorrupt, "body of the frame does not match its checksum or lacks the end mark")
	}
	return body, nil
}
