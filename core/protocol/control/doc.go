// Package control holds the protobuf messages and connect-go services between nodes and control processes.
package control
