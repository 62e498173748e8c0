// Package outlier finds back ends that are slow or fail compared with their peers.
package outlier
