// Package listen opens listening sockets, accepts connections on them, and polls the readiness of descriptors.
//
// A Listener keeps accepting when system calls fail. It closes each of its descriptors exactly once. Poll returns what
// a descriptor is ready for, without waiting.
//
// A Listener owns its descriptors, among them a reserve descriptor for when the system has none left. Its mutex guards
// the reserve and the record of failed calls. Poll has no state.
//
// httpserver, http2 (for grpcserver), adminapi and gossip/agent open and serve a Listener. Package socket and
// respupstream call Poll.
package listen
