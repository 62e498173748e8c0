// Package returns recognizes callers that come back after a refusal.
package returns
