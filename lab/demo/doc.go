// Package demo prepares and runs the demonstration: it sends load through processes on loopback addresses while a zone is
// taken out of service and back or faults are injected, and checks the invariants.
package demo
