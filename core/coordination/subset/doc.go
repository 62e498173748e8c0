// Package subset chooses the members of a service that a node knows: a bounded number, spread evenly over all nodes.
package subset
