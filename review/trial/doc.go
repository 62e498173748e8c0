// Command trial runs the scripted cases of the third review. It starts the programs of the deploy file as separate processes on
// loopback addresses, plays the platform, the operator, the clients and the servers, and checks one rule.
package main
