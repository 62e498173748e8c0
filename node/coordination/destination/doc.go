// Package destination decides at the destination node whether each attempt starts, waits or is refused, and remembers
// which attempts have started.
package destination
