// Package model simulates the balancing, retry and admission policies of core against queueing models of back ends in
// virtual time.
package model
