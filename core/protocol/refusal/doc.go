// Package refusal defines why a node refuses a request and how the refusal is expressed in HTTP status and headers.
package refusal
