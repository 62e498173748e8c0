// Package tcp opens listeners and connections on configured addresses and carries HTTP/1.1 exchanges on pooled connections.
package tcp
