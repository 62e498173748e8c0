// Package requestlimit defines the limit of requests per second that a back end names for all nodes together.
package requestlimit
