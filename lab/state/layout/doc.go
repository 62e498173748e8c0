// Package layout places control processes, nodes and back ends on loopback addresses and writes their settings.
package layout
