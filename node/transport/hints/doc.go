// Package hints exchanges the load of back ends with other nodes in datagrams, between the responses that carry it too.
package hints
