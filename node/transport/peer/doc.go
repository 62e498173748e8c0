// Package peer carries attempts, cancels and rules between nodes.
package peer
