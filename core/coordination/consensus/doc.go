// Package consensus carries out the effects of the consensus model on the log and the replica of one member.
//
// It starts no goroutine and reads no clock, so that whole groups run in virtual time in tests.
package consensus
