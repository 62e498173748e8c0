// Package control reads the status of control processes.
package control
