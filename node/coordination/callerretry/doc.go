// Package callerretry recognizes callers that come back after a refusal.
package callerretry
