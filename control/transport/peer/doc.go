// Package peer connects a control process to the others: consensus messages, directory deltas and forwarded proposals.
package peer
