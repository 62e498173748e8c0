// Package rollout decides how the rollout of a service to another version goes on.
package rollout
