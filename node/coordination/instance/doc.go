// Package instance decides which instance of the local back end is there and what it may get.
package instance
