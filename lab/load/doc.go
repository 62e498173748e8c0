// Package load sends requests of one kind at a fixed rate to nodes, and to a back end directly for comparison.
package load
