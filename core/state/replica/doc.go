// Package replica is the replicated state machine of the control group. It holds the rule file, the routing table, the claims
// of idempotency keys and the members. All members apply the same commands in log order and get the same results.
package replica
