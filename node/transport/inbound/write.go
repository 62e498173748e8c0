package inbound

import (
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
)

// FillResponse puts reply into resp. A body that fails makes the write of resp fail without the last chunk or byte, so a cut is visible.
func FillResponse(resp *fasthttp.Response, head bool, reply *message.Reply) {
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
	resp.ImmediateHeaderFlush = length < 0 || length > message.BufferedBodySize
	resp.SetBodyStream(reply.Body, length)
}
