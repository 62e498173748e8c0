// Package pause sleeps for a duration unless a context ends first.
package pause
