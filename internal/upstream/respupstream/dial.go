package respupstream

import (
	"net"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/internal/transport/resp"
	"github.com/topazfront/topazfront/internal/transport/socket"
	"github.com/topazfront/topazfront/internal/upstream"
)

// maxResponseItems limits the bulk strings that are read as one response. parseResponse requires exactly four.
const maxResponseItems = 8

// dial connects to the worker and assigns waiting exchanges to the new connection. It runs on its own goroutine, for
// the connect timeout at most.
func (p *Pool) dial(w *worker) {
	netConn, err := socket.Dial("tcp", w.addr, p.config.ConnectTimeout)
	if err != nil {
		p.dialFailed(w, err)
		return
	}
	c, err := newConn(p, w, netConn)
	if err != nil {
		_ = netConn.Close()
		p.dialFailed(w, err)
		return
	}
	c.netConn.Start()
	p.addConn(c)
}

// addConn adds a new connection to the pool and assigns waiting exchanges to it. If the pool was closed during the
// connect, addConn closes the connection, because Close could not.
func (p *Pool) addConn(c *conn) {
	w := c.worker
	p.mu.Lock()
	p.connectEnded(w)
	poolClosed := p.closed
	if !c.closed {
		p.conns[c] = struct{}{}
		c.draining = w.removed || p.closed
		if !c.draining {
			w.conns = append(w.conns, c)
			p.reportConns(w)
		}
		c.enqueueWaiting()
	}
	var callbacks []func()
	if w.connecting == 0 { // no further connection is coming: the remaining exchanges share the existing ones
		callbacks = p.reassignWaiting(w)
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
	if poolClosed {
		c.close()
	}
}

// connectEnded updates the counts of connects in progress when a connect to the worker ends. The lock is held.
func (p *Pool) connectEnded(w *worker) {
	w.connecting--
	p.connecting--
}

// dialFailed ends all exchanges that wait for a connection to the worker. No byte of them was written.
func (p *Pool) dialFailed(w *worker, err error) {
	var callbacks []func()
	result := upstream.EvidenceOf(upstream.Connect, err).Result()
	p.mu.Lock()
	p.connectEnded(w)
	p.stats.DialFailures++
	waiting := w.waiting
	w.waiting = nil
	for _, x := range waiting {
		callbacks = append(callbacks, p.finish(x, result, nil))
	}
	p.mu.Unlock()
	runCallbacks(callbacks...)
	p.config.Logger.Debug("connect failed", "endpoint", w.id, "error", err)
}

// newConn returns a connection that takes over netConn. It is not yet in the pool and reads nothing yet.
func newConn(p *Pool, w *worker, netConn net.Conn) (*conn, error) {
	c := &conn{
		pool:       p,
		worker:     w,
		reader:     resp.NewReader(resp.Limits{Items: maxResponseItems, Bytes: p.config.MaxResponseBytes}),
		inFlight:   map[string]*exchange{},
		usedIDs:    map[usedID]time.Duration{},
		openedAt:   time.Now(),
		lastReadAt: time.Now(),
		lastUsedAt: time.Now(),
	}
	var err error
	if c.netConn, err = socket.New(netConn, c, 0); err != nil {
		return nil, err
	}
	c.writer = messageWriter{fd: c.netConn.Fd(), send: p.config.send}
	if p.config.ReceiveBuffer > 0 {
		_ = syscall.SetsockoptInt(c.netConn.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.config.ReceiveBuffer)
	}
	return c, nil
}
