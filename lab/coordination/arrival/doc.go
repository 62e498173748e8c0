// Package arrival starts requests at random times that do not wait for earlier requests.
package arrival
