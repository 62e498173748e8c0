// Package event writes numbered log events, stamped by a hybrid logical clock.
package event
