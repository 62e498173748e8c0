// Package wal is the write-ahead log of the consensus. It stores the log entries, the hard state and the snapshots of one
// member in its data folder and detects torn writes and corruption.
package wal
