// Package follow decides which control process a node follows and which rules and members it holds.
package follow
