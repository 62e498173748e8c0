// Package tally counts results and latencies by phase and kind of request.
package tally
