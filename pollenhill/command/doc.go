// Package command is the command-line client of operators; it changes nothing.
package command
