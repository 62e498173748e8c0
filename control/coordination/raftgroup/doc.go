// Package raftgroup runs one control process's member of the Raft group, which replicates rules and claims, in a
// goroutine.
package raftgroup
