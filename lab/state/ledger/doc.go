// Package ledger compares what callers were told of reservations with what back ends ran.
package ledger
