// Package shutdown plans the steps of the shutdown of a node within the time until its process is killed.
package shutdown
