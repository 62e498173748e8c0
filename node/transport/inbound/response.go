package inbound

import (
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
)

// FillResponse sets header and body of resp from reply; head says that the request method is HEAD. If the body fails, the
// write of resp fails before the last chunk or byte, so the client sees that the response is truncated.
func FillResponse(resp *fasthttp.Response, head bool, reply *message.Reply) {
	reply.Header.CopyTo(&resp.Header)
	resp.Header.SetNoDefaultContentType(true)
	if reply.Body == nil {
		// fasthttp keeps the Content-Length of a response to HEAD and writes none for 204 and 304.
		resp.SkipBody = head
		return
	}
	length := reply.Length
	if length < 0 {
		length = tcp.Chunked
	}
	// A small body is already in memory; otherwise the header is sent at once, before the body arrives.
	resp.ImmediateHeaderFlush = length < 0 || length > message.BufferedBodySize
	resp.SetBodyStream(reply.Body, length)
}
