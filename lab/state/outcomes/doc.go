// Package outcomes compares the outcomes that callers received with the number of times that back ends ran each reservation.
package outcomes
