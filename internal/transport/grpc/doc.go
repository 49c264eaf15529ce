// Package grpc implements what gRPC adds to HTTP/2, as the specification "gRPC over HTTP2" defines it: length-prefixed
// messages, timeouts, status and metadata. It is independent of connections and of message types.
package grpc
