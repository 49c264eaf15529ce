// Package gossipsim runs many gossip cores on a simulated network and clock, in one goroutine and from one seed: the
// results repeat, at sizes that sockets don't reach.
package gossipsim
