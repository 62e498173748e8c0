// Package peer carries attempts, cancellations and rules between nodes.
package peer
