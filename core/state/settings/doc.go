// Package settings loads a program's JSON settings and reports a wrong field by its path.
package settings
