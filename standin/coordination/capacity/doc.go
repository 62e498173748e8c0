// Package capacity models what a stand-in back end can handle: slots, cold start and overload.
package capacity
