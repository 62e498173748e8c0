// Package mtls wraps listeners and dialers in mutual TLS. Keys and certificates come from files, which may be replaced
// while the process runs.
package mtls
