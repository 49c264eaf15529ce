// Package gossipsim runs many gossip cores on a simulated network with a simulated clock, in one goroutine. Results
// depend only on the seed, and groups can be far larger than with real sockets.
package gossipsim
