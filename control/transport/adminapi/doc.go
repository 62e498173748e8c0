// Package adminapi serves the programs of operators: changes of the table of routes, and zones out and back.
package adminapi
