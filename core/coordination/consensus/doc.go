// Package consensus runs one member of the control group: it carries out the effects of package raft on the write-ahead
// log, the replicated state and the network.
//
// It starts no goroutines and reads no clock, so that tests can run whole groups in virtual time.
package consensus
