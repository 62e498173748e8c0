// Package command implements the command-line client of operators. It only reads the state of a load balancer and checks
// rule files.
package command
