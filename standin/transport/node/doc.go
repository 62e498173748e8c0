// Package node announces a stand-in back end to its local node.
package node
