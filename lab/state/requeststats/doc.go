// Package requeststats counts results and latencies of requests by phase and kind of request.
package requeststats
