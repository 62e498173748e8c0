// Package hint encodes the load hint that every node-to-node response carries.
package hint
