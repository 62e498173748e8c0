// Package inbound receives whole requests, watches their connections and writes replies for every HTTP listener of a node.
package inbound
