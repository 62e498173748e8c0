// Package caller serves callers: it routes their requests, makes attempts for them and writes the replies.
package caller
