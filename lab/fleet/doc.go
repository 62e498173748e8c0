// Package fleet measures the CPU time and memory of control processes and nodes, and the time until a rule change is in
// force at every node, with many real processes.
package fleet
