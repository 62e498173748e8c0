// Package fleet measures the cost of control and the time until a change is in force, over many real processes.
package fleet
