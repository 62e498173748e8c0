// Package pause sleeps for a duration unless a context ends first, and detects pauses of the whole process.
package pause
