// Package settings loads a program's JSON settings and names the path of a wrong field.
package settings
