// Package call decides at the entry node which attempts are made for a call and which reply its caller gets.
package call
