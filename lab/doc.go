// Command lab sends load, drives the demo and runs policy experiments.
package main
