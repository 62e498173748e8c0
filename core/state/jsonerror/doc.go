// Package jsonerror keeps the texts of decoding errors independent of the names of Go types.
package jsonerror
