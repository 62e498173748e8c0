// Package tcp opens listeners and connections on configured addresses and is an HTTP/1.1 client on pooled connections:
// an exchange sends one request on a connection and reads its response.
package tcp
