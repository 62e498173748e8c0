// Package inbound receives whole requests and writes replies for the listeners of a node to callers and other nodes.
package inbound
