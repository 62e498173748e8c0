// Package follow decides which control process a node follows, and holds the rules and members that the node received. A
// control process is current if it leads a quorum or hears from such a leader.
package follow
