// Package loadreport defines the UDP datagram with which nodes subscribe to load reports and send them.
package loadreport
