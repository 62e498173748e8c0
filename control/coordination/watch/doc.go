// Package watch fans out rules and members to the nodes that watch this control process.
package watch
