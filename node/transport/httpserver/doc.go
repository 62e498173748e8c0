// Package httpserver serves HTTP/1.1 connections whose callers send further requests before the first is answered: repeatable requests run side by side, answers go out in the order of the requests.
package httpserver
