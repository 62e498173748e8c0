// Package engine runs the node's entry and destination models in one goroutine and passes messages and effects between
// them and the goroutines that handle requests.
package engine
