// Package agent runs the gossip state machines of one router: its sockets, its clock and its loop. It decides nothing;
// what it passes to the router is the outcome of the router's own checks and a count that only rises.
//
// An [Agent] owns its goroutines and ends them in [Agent.Close]: the loop, which alone uses the state machines; the
// reader of datagrams; and one for each outbound stream, which has a timeout. Inbound streams are read by netpoll's
// goroutines, for which Close waits a second at most; a timer closes each inbound stream that takes too long.
package agent
