// Package arrival starts requests as an open-loop Poisson process, which does not wait for earlier responses.
package arrival
