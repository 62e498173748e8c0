// Package attempt defines the ID, the outcomes and the HTTP headers of attempts. An attempt is one transmission of a
// request from an entry node to a destination node.
package attempt
