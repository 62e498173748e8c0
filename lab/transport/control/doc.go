// Package control asks control processes for their state.
package control
