// Package adminapi serves a running program's admin API: JSON-RPC 2.0 (jsonrpc.org/specification), one object per line,
// over a Unix stream socket that only its owner can open. The requests of a connection are handled in order. Batch
// requests are rejected.
package adminapi
