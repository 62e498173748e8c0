// Package upload decides when other nodes send large request bodies to this node.
//
// A node asks before it sends such a body. Bodies that arrive one after the other take no longer in total than all at once,
// but short requests on the same link do not wait behind all of them, and a request that is refused has not crossed the link.
package upload
