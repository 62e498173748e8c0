// Package call decides at the entry node which attempts are made for a call and which reply its caller gets.
//
// Hedging is based on service times: a request keeps the slowdown that its back end had when the request started, and
// nodes seldom learn that this was a slow period. An attempt that takes longer than its route usually does was probably
// slow from the start, so a hedge is sent to a fast back end while that one can still meet the latency objective.
package call
