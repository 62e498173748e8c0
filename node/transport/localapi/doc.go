// Package localapi serves the HTTP API of a node for its own VM: announcements and heartbeats of back ends, metrics,
// status and readiness.
package localapi
