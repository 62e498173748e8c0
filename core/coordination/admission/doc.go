// Package admission decides at the destination node which attempts its back end gets and when.
package admission
