// Package listen opens listening sockets for netpoll's event loops, and polls the state of descriptors.
//
// Job: a Listener accepts connections for an event loop, also while system calls fail, and closes each of its descriptors
// exactly once. Poll tells what a descriptor is ready for, without waiting.
//
// State: a Listener owns its descriptors, among them one in reserve for when the system has none left. Its mutex guards the
// reserve and what is remembered of failing calls. Poll has no state.
//
// Callers: httpserver, http2 (for grpcserver), adminapi and gossip/agent open and serve a Listener; its event loop calls
// Accept. httpserver and respupstream call Poll.
package listen
