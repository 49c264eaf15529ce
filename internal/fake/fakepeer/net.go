// Package fakepeer is the scripted other side of gossip: a network with faults between the routers' sockets, and
// peers that forge, lie or fall silent.
package fakepeer

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are what goes wrong between sockets.
type Faults struct {
	Loss  float64 // share of the datagrams that is lost,
	Twice float64 // and that comes twice
	Least time.Duration
	Most  time.Duration // delays are drawn between the two, so datagrams overtake each other
	Cut   func(from, to string) bool
}

// Net puts faults between the sockets that it wraps, from one seed.
type Net struct {
	mu  sync.Mutex
	f   Faults
	rng *rand.Rand
}

// NewNet returns a network without faults.
func NewNet(seed uint64) *Net { return &Net{rng: rand.New(rand.NewPCG(seed, 8))} }

// Set changes the faults.
func (n *Net) Set(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.f = f
}

// Open tells whether the way from one socket to another is open, for streams.
func (n *Net) Open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.f.Cut == nil || !n.f.Cut(from, to)
}

// draw decides what becomes of one datagram: the delays of its copies.
func (n *Net) draw(from, to string) (delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.f.Cut != nil && n.f.Cut(from, to) || n.rng.Float64() < n.f.Loss {
		return nil
	}
	copies := 1
	if n.rng.Float64() < n.f.Twice {
		copies = 2
	}
	for range copies {
		delays = append(delays, n.f.Least+time.Duration(n.rng.Float64()*float64(n.f.Most-n.f.Least)))
	}
	return delays
}

// Meter holds what leaves one router against its cap: a bucket that fills at the permitted rate. It stands at
// the socket, and knows nothing of the router.
type Meter struct {
	Rate, Burst   float64 // bytes
	PerSec, Count float64 // messages a second, and at once

	mu          sync.Mutex
	at          time.Time
	bytes, msgs float64
	first       time.Time
	total, sent float64
	over        int
}

// Add counts a message that left.
func (m *Meter) Add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.at.IsZero() {
		m.at, m.first, m.bytes, m.msgs = now, now, m.Burst, m.Count
	}
	gone := now.Sub(m.at).Seconds()
	m.at = now
	m.bytes, m.msgs = min(m.bytes+gone*m.Rate, m.Burst)-float64(n), min(m.msgs+gone*m.PerSec, m.Count)-1
	m.total, m.sent = m.total+float64(n), m.sent+1
	if m.bytes < 0 || m.msgs < 0 {
		m.over++
	}
}

// Totals tells the bytes and messages so far, bytes a second since the first, and how often the cap was
// exceeded.
func (m *Meter) Totals() (bytes, messages, rate float64, over int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if span := time.Since(m.first).Seconds(); !m.first.IsZero() && span > 0 {
		rate = m.total / span
	}
	return m.total, m.sent, rate, m.over
}

// Conn is a socket behind a Net and a Meter.
type Conn struct {
	net.PacketConn
	net   *Net
	meter *Meter
	mute  atomic.Bool
}

// Wrap puts a socket behind the network. m may be nil.
func (n *Net) Wrap(c net.PacketConn, m *Meter) *Conn { return &Conn{PacketConn: c, net: n, meter: m} }

// Mute has all that is sent from now on vanish.
func (c *Conn) Mute() { c.mute.Store(true) }

// WriteTo implements net.PacketConn.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.meter != nil {
		c.meter.Add(len(p))
	}
	if c.mute.Load() {
		return len(p), nil
	}
	for _, d := range c.net.draw(c.LocalAddr().String(), to.String()) {
		if d <= 0 {
			_, _ = c.PacketConn.WriteTo(p, to)
			continue
		}
		q := append([]byte(nil), p...)
		time.AfterFunc(d, func() { _, _ = c.PacketConn.WriteTo(q, to) })
	}
	return len(p), nil
}
