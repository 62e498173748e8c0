// Package header holds the configurable names of the HTTP headers that callers and back ends of a deployment use.
package header
