// Package instance tracks which instance of the local back end is running and whether it may receive requests.
package instance
