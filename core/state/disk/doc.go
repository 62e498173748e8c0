// Package disk is the file system below the log: a real one and a fake that loses what was not synced.
package disk
