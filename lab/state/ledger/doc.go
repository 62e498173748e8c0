// Package ledger compares the outcomes that callers received with what back ends ran.
package ledger
