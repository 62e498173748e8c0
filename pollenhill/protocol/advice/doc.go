// Package advice explains to operators the reasons for which nodes refuse requests.
package advice
