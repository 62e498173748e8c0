// Command pollenhill is the read-only command-line client for operators.
package main
