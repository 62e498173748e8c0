// Package adminapi serves the admin API, an HTTP interface for operators' programs: it reads and changes the routing table, and
// takes zones out of service and back.
package adminapi
