// Package caller serves the requests of callers at a stand-in back end.
package caller
