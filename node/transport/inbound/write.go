package inbound

import (
	"io"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
)

// Fill puts reply into resp; end, if not nil, runs after the body was written or could not be.
// A body that fails makes the write of resp fail without the last chunk or byte, so a cut is visible.
func Fill(resp *fasthttp.Response, head bool, reply *message.Reply, end func()) {
	reply.Header.CopyTo(&resp.Header)
	resp.Header.SetNoDefaultContentType(true)
	if reply.Body == nil {
		// fasthttp keeps the length of a response to HEAD and writes none for 204 and 304.
		resp.SkipBody = head
		return
	}
	length := reply.Length
	if length < 0 {
		length = tcp.Chunked
	}
	// A small body is complete already; the header of any other must not wait for it.
	resp.ImmediateHeaderFlush = length < 0 || length > message.SmallBody
	body := reply.Body
	if end != nil {
		body = &stream{ReadCloser: body, end: end}
	}
	resp.SetBodyStream(body, length)
}

// stream ends the watch of the connection with the body.
type stream struct {
	io.ReadCloser
	end func()
}

// Close closes the body; closed early, it abandons the connection it came from.
func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.end()
	return err
}
