// Package layout assigns loopback addresses to control processes, nodes and back ends, and writes their settings and rule files.
package layout
