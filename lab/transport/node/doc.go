// Package node sends requests to a pollenhill node as a caller does and checks the responses.
package node
