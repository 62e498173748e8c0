// Package control queries control processes for their state and rules. Each answers from its own replica, so that the
// queries work without a leader.
package control
