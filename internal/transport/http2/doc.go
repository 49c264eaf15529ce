// Package http2 implements HTTP/2 (RFC 9113) for the gateway: the client and the server end of a connection, with
// framing, header compression, streams and flow control in both directions. Server push and priorities are not
// implemented, because gRPC needs neither.
//
// A [Conn] reads on one goroutine, which calls the [Receiver] of each stream and reads again only when the frames have
// been handled: a peer that sends faster than that has to wait. Any goroutine may append
// frames to its write buffer; one goroutine at a time flushes the buffer to the socket. Bytes passed to a Receiver
// belong to the connection and are valid until the call returns; [Stream.Write] copies its argument.
package http2
