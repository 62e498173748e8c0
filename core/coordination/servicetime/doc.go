// Package servicetime estimates service times on back ends whose slowdown changes many times a second. The slowdown is the
// factor by which the service time is above normal: 1 is normal, larger is slower.
package servicetime
