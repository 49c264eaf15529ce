package grpcupstream

import (
	"errors"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/transport/http2"
	"github.com/topazfront/topazfront/internal/upstream"
)

// outgoingCall is a call that is to be sent on a stream of its own.
type outgoingCall interface {
	// openStream opens the stream on a connection that seemed to have a free one. On an error nothing was sent.
	openStream(*http2.Conn) error
	// fail ends a call of which nothing was sent, with a result that says so.
	fail(result dispatch.Result, reason string)
}

// startStream opens a stream for the call on the connection with the most free streams, or else waits for a new connection.
// The call fails if there is neither.
func (p *Pool) startStream(workerID string, call outgoingCall) {
	p.mu.Lock()
	w := p.workers[workerID]
	if w == nil || p.closed {
		p.mu.Unlock()
		call.fail(dispatch.ConnectFailed, "worker is not listed")
		return
	}
	var best *http2.Conn
	freeStreams := 0
	for _, c := range w.conns {
		if r := c.AvailableStreams(); r > freeStreams {
			best, freeStreams = c, r
		}
	}
	if best == nil {
		switch {
		case w.connecting == 0 && len(w.conns) < p.config.MaxConnsPerWorker:
			w.waiting = append(w.waiting, call)
			w.connecting++
			go p.dial(w, w.addr)
		case w.connecting > 0:
			w.waiting = append(w.waiting, call)
		default:
			p.mu.Unlock()
			call.fail(dispatch.ConnectFailed, "no stream is free")
			return
		}
		p.mu.Unlock()
		return
	}
	delete(w.idleSince, best)
	p.mu.Unlock()
	if err := call.openStream(best); err != nil {
		p.waitForConn(workerID, call, err)
	}
}

// waitForConn makes a call wait for a new connection after its connection was lost, or the last free stream was taken, before
// anything was sent.
func (p *Pool) waitForConn(workerID string, call outgoingCall, err error) {
	p.mu.Lock()
	w := p.workers[workerID]
	if w == nil || p.closed || w.connecting == 0 && len(w.conns) >= p.config.MaxConnsPerWorker {
		p.mu.Unlock()
		call.fail(dispatch.ConnectFailed, err.Error())
		return
	}
	w.waiting = append(w.waiting, call)
	if w.connecting == 0 {
		w.connecting++
		go p.dial(w, w.addr)
	}
	p.mu.Unlock()
}

// dial opens one connection and opens the streams of the calls that wait for it. It runs on a goroutine of its own, which
// ends once the connect has ended and those calls have their streams.
func (p *Pool) dial(w *worker, addr string) {
	handler := &connHandler{pool: p, worker: w}
	c, err := p.dialer("tcp", addr, p.config.ConnectTimeout, p.config.HTTP2, handler)
	p.mu.Lock()
	w.connecting--
	waiting := w.waiting
	w.waiting = nil
	if err == nil && !handler.ended {
		p.open[c] = struct{}{}
	}
	stale := p.closed || p.workers[w.id] != w || w.addr != addr
	if err == nil && !stale && !handler.noNewStreams {
		w.conns = append(w.conns, c)
	}
	p.mu.Unlock()
	if err == nil && stale {
		c.Shutdown()
	}
	for _, call := range waiting {
		switch {
		case err != nil:
			call.fail(upstream.EvidenceOf(upstream.Connect, err).Result(), err.Error())
		case stale:
			p.startStream(w.id, call)
		default:
			switch err := call.openStream(c); {
			case errors.Is(err, http2.ErrTooManyStreams):
				p.waitForConn(w.id, call, err)
			case err != nil: // no redial: a worker may accept and close at once, again and again
				call.fail(dispatch.ConnectFailed, err.Error())
			}
		}
	}
}

// connHandler is the http2.Handler of one connection.
type connHandler struct {
	pool         *Pool
	worker       *worker
	noNewStreams bool // guarded by pool.mu
	ended        bool // guarded by pool.mu
}

// StreamOpened implements http2.Handler. Servers open no streams to a client.
func (h *connHandler) StreamOpened(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler. Without an error code it means that the worker drains.
func (h *connHandler) GoAway(c *http2.Conn, code http2.ErrCode) {
	h.removeConn(c)
	if code == http2.NoError {
		h.pool.router.WorkerDraining(h.worker.id)
	} else {
		h.pool.config.Logger.Warn("worker closed the connection", "endpoint", h.worker.id, "code", code.String())
	}
}

// ConnClosed implements http2.Handler.
func (h *connHandler) ConnClosed(c *http2.Conn, err error) {
	h.removeConn(c)
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.ended = true
	delete(h.pool.open, c)
}

// removeConn removes the connection from the worker's list. If dial has not added it yet, noNewStreams keeps it out.
func (h *connHandler) removeConn(c *http2.Conn) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.noNewStreams = true
	delete(h.worker.idleSince, c)
	for i, other := range h.worker.conns {
		if other == c {
			h.worker.conns = append(h.worker.conns[:i], h.worker.conns[i+1:]...)
			return
		}
	}
}
