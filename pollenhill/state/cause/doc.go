// Package cause follows one request through the collected events of several processes to the cause of its end.
package cause
