// Package outlier detects back ends that are slow or fail compared with the others of their service, and ejects them
// until trial requests succeed.
package outlier
