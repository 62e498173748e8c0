// Package program builds a node from its settings, runs it and shuts it down gracefully.
package program
