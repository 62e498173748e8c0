// Package httpserver serves HTTP/1.1 connections with pipelining: requests of one connection that may be repeated run
// concurrently, all others run alone, and replies are sent in the order of the requests.
package httpserver
