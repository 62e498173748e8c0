// Package daemon wires the control program: settings, consensus, directory, watchers and servers.
package daemon
