// Drill runs the cases of the second review: it starts the programs of this repository as separate processes on loopback
// addresses, plays clients, back ends, the operator and the platform beside them, and checks one rule.
package main
