package control

// Limits of what nodes and control processes take from a control process. A faulty peer may send without end.
const (
	// MaxResponseBytes bounds a response or a message of a stream, in bytes. The largest ones hold the rules, which are limited by
	// rule.MaxFileSize, and the list of all nodes, which takes less than a megabyte for 2,900 of them.
	MaxResponseBytes = 4 << 20
	// MaxResponseHeaderBytes bounds the header of a response, in bytes.
	MaxResponseHeaderBytes = 64 << 10
)
