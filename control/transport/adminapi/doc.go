// Package adminapi serves the HTTP interface for operators' programs: it reads and changes the table of routes, and takes
// zones out of service and back.
package adminapi
