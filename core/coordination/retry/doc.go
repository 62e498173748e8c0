// Package retry bounds the extra attempts of a service: retries and hedges.
package retry
