// Package daemon assembles a control process from its settings: Raft group, directory, streams to nodes, rule file and
// servers.
package daemon
