// Package destination decides at the destination node what happens to every attempt and remembers which ones ran.
package destination
