// Package routingtable is the form in which programs read and change routes, pools and bounds.
package routingtable
