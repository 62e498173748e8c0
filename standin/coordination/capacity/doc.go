// Package capacity models what a stand-in back end can bear: slots, cold start and overload.
package capacity
