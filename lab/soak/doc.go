// Package soak holds tests that run the real programs as processes, stop them by signals and hold up their messages in a
// loopback proxy, and check from outside what callers and back ends are promised.
package soak
