// Package socket reads connections no faster than their input is handled, and dials them.
//
// A Conn reads into one buffer, passes the bytes to its Handler and reads again only when the handler has returned. A
// peer that sends faster than it is served fills the sockets' buffers and then has to wait; it does not fill the memory
// of this process. What a handler keeps of incomplete messages is bounded by the limits of its parser.
//
// Each Conn has one goroutine, which waits for input in the Go runtime's poller. It holds no buffer while it waits. A
// Conn owns its descriptor, which stays open until Handler.Closed has returned.
//
// httpserver, respupstream and discovery use a Conn; http2, adminapi and gossip/agent read their connections from a
// goroutine that blocks, which has the same effect, and call Dial.
package socket
