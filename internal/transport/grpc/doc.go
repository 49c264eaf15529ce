// Package grpc implements what gRPC adds to HTTP/2, as its specification "gRPC over HTTP2" defines it:
// length-prefixed messages, timeouts, status and metadata. It depends on no connection and on no message type.
package grpc
