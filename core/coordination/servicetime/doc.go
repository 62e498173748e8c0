// Package servicetime estimates service times on back ends whose slowdown changes many times a second.
package servicetime
