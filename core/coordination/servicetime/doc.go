// Package servicetime estimates how long requests take on back ends whose speed changes many times a second.
package servicetime
