// Package message defines the requests and replies that a node forwards and reads and writes their headers.
package message
