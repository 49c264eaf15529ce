// Package fakepeer is the other side of gossip for tests and scenarios: a network with faults between the routers'
// sockets, a meter of what a router sends, and peers that forge or lie.
package fakepeer

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// randomFaults is the stream of random numbers, within a network's seed, of its faults.
const randomFaults = 8

// Faults are what goes wrong between sockets. Rates are fractions of the datagrams.
type Faults struct {
	LossRate        float64
	DuplicationRate float64
	MinDelay        time.Duration
	MaxDelay        time.Duration              // delays are drawn between the two, so datagrams overtake each other
	Partitioned     func(from, to string) bool // nothing passes from one address to the other; nil: none are
}

// Network puts faults, drawn from one seed, between the sockets that it wraps. It may be used from any goroutine.
type Network struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
}

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, randomFaults))}
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Reachable reports whether one address reaches another, for streams.
func (n *Network) Reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.Partitioned == nil || !n.faults.Partitioned(from, to)
}

// drawDelays draws what happens to one datagram: the delay of each of its copies. None is left of a lost one.
func (n *Network) drawDelays(from, to string) (delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults
	if f.Partitioned != nil && f.Partitioned(from, to) || n.rng.Float64() < f.LossRate {
		return nil
	}
	copies := 1
	if n.rng.Float64() < f.DuplicationRate {
		copies = 2
	}
	for range copies {
		delays = append(delays, f.MinDelay+time.Duration(n.rng.Float64()*float64(f.MaxDelay-f.MinDelay)))
	}
	return delays
}

// Wrap puts a socket behind the network. meter may be nil.
func (n *Network) Wrap(socket net.PacketConn, meter *Meter) *Conn {
	return &Conn{PacketConn: socket, network: n, meter: meter}
}

// Conn is a socket behind a Network and a Meter.
type Conn struct {
	net.PacketConn
	network *Network
	meter   *Meter
	muted   atomic.Bool
}

// Mute drops everything that is sent from now on.
func (c *Conn) Mute() { c.muted.Store(true) }

// WriteTo implements net.PacketConn. It reports success also for datagrams that are lost, as a socket does.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.meter != nil {
		c.meter.Add(len(p))
	}
	if c.muted.Load() {
		return len(p), nil
	}
	for _, delay := range c.network.drawDelays(c.LocalAddr().String(), to.String()) {
		if delay <= 0 {
			_, _ = c.PacketConn.WriteTo(p, to)
			continue
		}
		datagram := append([]byte(nil), p...)
		time.AfterFunc(delay, func() { _, _ = c.PacketConn.WriteTo(datagram, to) })
	}
	return len(p), nil
}
