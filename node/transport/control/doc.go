// Package control is the node's client of the control processes: it announces, watches and claims.
package control
