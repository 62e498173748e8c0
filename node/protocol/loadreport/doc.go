// Package loadreport is the datagram by which nodes subscribe to and report the load of back ends.
package loadreport
