// Package cause explains how a request ended, from the collected events of the nodes that it passed.
package cause
