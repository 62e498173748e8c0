// Package daemon assembles a control process from its settings: its member of the control group, the directory, the streams to
// nodes, the rule file and the servers.
package daemon
