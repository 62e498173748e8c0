// Package node serves the Control service to nodes and to the command-line client: announcements, the stream of rules and
// members, claims, and status.
package node
