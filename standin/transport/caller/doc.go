// Package caller is the HTTP server of a stand-in back end: requests of callers, health and load checks of the node, and
// an admin listener for tests and the demo.
package caller
