// Command lab sends load, runs the demonstration, measures control processes and simulates policies.
package main
