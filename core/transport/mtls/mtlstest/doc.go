// Package mtlstest issues certificates for tests of processes that use mutual TLS.
package mtlstest
