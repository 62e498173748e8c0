// Command node is the load balancer process beside one back end. It limits the attempts that reach the back end and sends the
// requests of its callers to the back ends of all services.
package main
