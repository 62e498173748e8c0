// Package backend talks to the local back end: announcements in, attempts and checks out.
package backend
