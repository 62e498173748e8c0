package message

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// HasNestedID reports whether the ID in the named header says that a request is a call made for another one: the ID of
// that request, the separator and an ID of its own. An empty name or separator means that IDs do not tell.
func HasNestedID(h *fasthttp.RequestHeader, name, separator string) bool {
	if name == "" || separator == "" {
		return false
	}
	parent, own, ok := strings.Cut(string(h.Peek(name)), separator)
	return ok && parent != "" && own != ""
}
