// Package raftgroup runs the consensus of the control processes and applies committed commands to the replica.
package raftgroup
