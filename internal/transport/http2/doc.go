// Package http2 implements HTTP/2 (RFC 9113) for the gateway: both ends of a connection over netpoll, with
// framing, header compression, streams and flow control in both directions. Server push and priorities are
// left out, as gRPC needs neither.
//
// A [Conn] reads on one goroutine at a time, which calls the [Receiver] of each stream. It writes from a
// buffer that any goroutine may append to and that one goroutine at a time flushes to the socket. Bytes
// passed to a Receiver belong to the connection and are valid until the call returns; bytes passed to Write
// are copied before it returns.
package http2
