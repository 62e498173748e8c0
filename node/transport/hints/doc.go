// Package hints exchanges load reports of back ends between nodes over UDP, in addition to the load hints in responses.
package hints
