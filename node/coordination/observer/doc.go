// Package observer counts what a node sees of the back end beside it during a rollout of its service.
package observer
