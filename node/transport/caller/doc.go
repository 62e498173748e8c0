// Package caller serves the callers of an entry node: it routes their requests, sends attempts to destination nodes,
// claims idempotency keys and writes the replies.
package caller
