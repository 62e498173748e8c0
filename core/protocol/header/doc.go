// Package header holds the names of the HTTP headers that callers and back ends of a deployment use.
package header
