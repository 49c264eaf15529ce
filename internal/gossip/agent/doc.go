// Package agent runs the gossip state machines of one router and provides their sockets, clock and event loop. It makes
// no decisions itself. It passes two things to the router's dispatcher: the workers that a check by this router
// confirmed as silent, and the highest number of live routers, which never decreases.
//
// An [Agent] owns its goroutines and ends them in [Agent.Close]: the loop, which alone uses the state machines; the
// reader of datagrams; and one for each stream, limited in number and by a timeout. Close waits for those of inbound
// streams for at most a second.
package agent
