// Package attempt identifies one try of a request between an entry node and a destination node.
package attempt
