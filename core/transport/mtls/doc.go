// Package mtls gives listeners and dialers mutual TLS with keys and certificates from files, which may be replaced while the process runs.
package mtls
