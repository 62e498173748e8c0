// Package node sends requests to a pollenhill node as a caller does, and checks that the responses are complete.
package node
