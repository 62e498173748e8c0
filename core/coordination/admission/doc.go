// Package admission implements admission control at the destination node: it decides which attempts its back end gets
// and when, and which are queued or refused.
package admission
