// Package outcomes compares the outcomes that callers received with what back ends ran.
package outcomes
