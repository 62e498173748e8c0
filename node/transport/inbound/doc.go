// Package inbound validates request headers, reads request bodies and prepares responses for the listeners that serve
// callers and other nodes.
package inbound
