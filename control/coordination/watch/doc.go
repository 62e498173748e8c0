// Package watch sends rules and members, as deltas where possible, to the nodes that watch this control process.
package watch
