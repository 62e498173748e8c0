// Package parent knows the requests that the back end of a node runs, so that the calls which the back end makes for them
// inherit their account and rank.
//
// A call names its parent in its request ID: the ID of the parent, a dot, and a part of its own. The table holds a request
// only while the back end runs it, so that a call inherits nothing from a request that has ended or runs elsewhere.
package parent
