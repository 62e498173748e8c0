// Package control is a node's client of the control processes. It announces the node to them, receives rules and
// members from them and claims idempotency keys.
package control
