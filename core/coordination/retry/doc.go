// Package retry decides which failed attempts are retried and bounds the extra attempts of a service, which are retries and
// hedges, by a retry budget.
package retry
