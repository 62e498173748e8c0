package inbound

import (
	"io"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
)

// Write leaves reply in rc; end runs after the body was written or could not be.
// A body that fails makes fasthttp close the connection without the last chunk or byte, so a cut is visible.
func Write(rc *fasthttp.RequestCtx, reply *message.Reply, end func()) {
	reply.Header.CopyTo(&rc.Response.Header)
	rc.Response.Header.SetNoDefaultContentType(true)
	if reply.Body == nil {
		// fasthttp keeps the length of a response to HEAD and writes none for 204 and 304.
		rc.Response.SkipBody = rc.IsHead()
		return
	}
	length := reply.Length
	if length < 0 {
		length = tcp.Chunked
	}
	// A small body is complete already; the header of any other must not wait for it.
	rc.Response.ImmediateHeaderFlush = length < 0 || length > message.SmallBody
	rc.Response.SetBodyStream(&stream{ReadCloser: reply.Body, end: end}, length)
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
