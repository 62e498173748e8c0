// Package subset chooses the bounded, balanced set of members of a service that a node knows.
package subset
