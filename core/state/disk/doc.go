// Package disk is the file system interface below the write-ahead log, with an implementation on the operating system and an
// in-memory fake that injects crashes and disk faults.
package disk
