// Package timeline merges the event files of several processes in the order of their hybrid logical clocks.
package timeline
