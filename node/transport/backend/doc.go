// Package backend connects a node with the back end on its VM: it tracks the announcements, heartbeats and load reports
// of the back end and sends attempts, probes and health checks to it.
package backend
