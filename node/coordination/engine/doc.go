// Package engine runs the node's models in one goroutine and connects them to the goroutines that carry traffic.
package engine
