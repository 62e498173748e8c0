// Package model runs the policy packages of core against queue models of back ends in virtual time.
package model
