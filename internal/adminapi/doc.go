// Package adminapi serves a running program's admin API: JSON-RPC 2.0 (jsonrpc.org/specification), one object a line, over
// a Unix stream socket that only its owner may open. Requests of one connection are answered in order. Batches are
// rejected.
package adminapi
