// Package raftgroup runs one member of the control group in a goroutine. The control group is the Raft group of the control
// processes, which replicates rules and claims.
package raftgroup
