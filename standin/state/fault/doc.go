// Package fault holds the misbehaviour that a stand-in back end shows.
package fault
