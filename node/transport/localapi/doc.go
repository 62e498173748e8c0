// Package localapi serves the back end on the same VM and the operators' tools: announcements, metrics and status.
package localapi
