// Package directory runs the directory model of a control process in one goroutine.
package directory
