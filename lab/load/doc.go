// Package load sends requests of one kind at a fixed mean rate to nodes, and optionally the same load directly to back
// ends, for comparison.
package load
