// Package requeststats counts results and latencies by phase and kind of request.
package requeststats
