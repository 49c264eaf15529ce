// Package fakepeer has fakes of the gossip environment of a router, for tests and scenarios: a network with faults
// between the routers' sockets, a meter for the traffic that a router sends, and malicious peers, which forge packets
// or report false statements.
package fakepeer

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultRandomStream selects the random numbers for a network's faults among the streams of its seed.
const faultRandomStream = 8

// Faults are the faults of a network. Rates are fractions of the datagrams sent.
type Faults struct {
	LossRate        float64
	DuplicationRate float64
	MinDelay        time.Duration
	MaxDelay        time.Duration // delays are uniform between the two, so datagrams may be reordered
	// Partitioned, if not nil, reports whether datagrams from one address to another are dropped.
	Partitioned func(from, to string) bool
}

// Network injects faults, chosen at random from one seed, between the sockets that it wraps. It may be used from any
// goroutine.
type Network struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
}

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, faultRandomStream))}
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Reachable reports whether no partition separates one address from another. It is for stream connections, which a
// Network does not wrap.
func (n *Network) Reachable(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.Partitioned == nil || !n.faults.Partitioned(from, to)
}

// drawDelays draws the delay of each copy of a datagram to deliver. It returns none if the datagram is lost.
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

// Wrap returns a socket that sends through the network. meter, if not nil, counts what it sends.
func (n *Network) Wrap(socket net.PacketConn, meter *Meter) *Conn {
	return &Conn{PacketConn: socket, network: n, meter: meter}
}

// Conn is a socket that sends through a Network.
type Conn struct {
	net.PacketConn
	network *Network
	meter   *Meter // may be nil
	muted   atomic.Bool
}

// Mute makes the socket drop all further datagrams that are sent.
func (c *Conn) Mute() { c.muted.Store(true) }

// WriteTo implements net.PacketConn. It reports success for lost datagrams, too, as a UDP socket does.
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
