// Package node serves nodes and the command-line client.
package node
