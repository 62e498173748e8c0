// Package wal keeps the consensus log, the vote and the snapshots of one data folder.
package wal
