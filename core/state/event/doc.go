// Package event writes numbered events as structured log lines. Their timestamps come from a hybrid logical clock, so that the
// events of all processes can be merged into one timeline.
package event
