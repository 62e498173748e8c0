// Package control asks control processes for their state, without the leader.
package control
