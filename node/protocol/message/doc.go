// Package message holds the requests and replies that a node carries and the rules for their headers.
package message
