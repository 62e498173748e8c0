// Package peer carries attempts, cancel requests and rules between nodes.
package peer
