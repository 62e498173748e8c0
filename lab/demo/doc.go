// Package demo prepares and drives the demonstration: processes on loopback addresses, load, and a zone that leaves and returns.
package demo
