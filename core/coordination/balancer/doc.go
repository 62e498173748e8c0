// Package balancer picks the back end for each attempt at the entry node. It estimates the load of the back ends from load
// hints, which may be out of date, and from the attempts in flight.
package balancer
