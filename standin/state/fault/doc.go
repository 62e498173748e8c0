// Package fault holds the faults that a stand-in back end injects.
package fault
