// Package replica is the replicated state machine of the control group: rules, claims and members.
package replica
