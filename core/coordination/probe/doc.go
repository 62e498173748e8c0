// Package probe bounds the back-end time that measuring takes and spends it where least is known.
package probe
