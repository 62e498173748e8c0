// Package lint finds entries of valid rules that can never match a request and limits that contradict each other.
package lint
