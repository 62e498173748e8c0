// Package balancer picks the destination of an attempt at the entry node from stale hints.
package balancer
