// Package peer connects a control process to the others: it sends and serves Raft messages, directory deltas and
// forwarded proposals.
package peer
