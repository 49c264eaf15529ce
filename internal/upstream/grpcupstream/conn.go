package grpcupstream

import (
	"errors"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/transport/http2"
	"github.com/topazfront/topazfront/internal/upstream"
)

// outgoingCall is a call to a worker that needs a stream: an attempt or a control call.
type outgoingCall interface {
	// openStream opens the stream on a connection that appeared to have a free one. If it returns an error, nothing
	// was sent.
	openStream(*http2.Conn) error
	// fail ends a call of which nothing was sent. The result must imply that, as ConnectFailed and NotSent do.
	fail(result dispatch.Result, reason string)
}

// startStream opens a stream for the call on the connection with the most free streams. If no stream is free, the call
// waits for a new connection; it fails if MaxConnsPerWorker is reached and no connect is in progress.
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
		if available := c.AvailableStreams(); available > freeStreams {
			best, freeStreams = c, available
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

// waitForConn queues a call for a new connection, after openStream failed because the chosen connection was closing or
// lost, or another call took its last free stream.
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

// dial opens one connection and then the streams of the calls that wait for it. It runs on its own goroutine, which
// ends once the connect has ended and these calls have their streams or have failed.
func (p *Pool) dial(w *worker, addr string) {
	handler := &connHandler{pool: p, worker: w}
	c, err := p.dialer("tcp", addr, p.config.ConnectTimeout, p.config.HTTP2, handler)
	p.mu.Lock()
	w.connecting--
	waiting := w.waiting
	w.waiting = nil
	if err == nil && !handler.connClosed {
		p.open[c] = struct{}{}
	}
	stale := p.closed || p.workers[w.id] != w || w.addr != addr
	if err == nil && !stale && !handler.noNewStreams {
		w.conns = append(w.conns, c)
		p.reportConns(w)
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
			case err != nil: // not redialled: a worker may accept and close connections endlessly
				call.fail(dispatch.ConnectFailed, err.Error())
			}
		}
	}
}

// connHandler is the http2.Handler of one connection.
type connHandler struct {
	pool         *Pool
	worker       *worker
	noNewStreams bool // the connection accepts no new streams; guarded by pool.mu
	connClosed   bool // guarded by pool.mu
}

// StreamOpened implements http2.Handler. A server opens no streams to its client.
func (h *connHandler) StreamOpened(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler. With the code NO_ERROR it means that the worker is draining.
func (h *connHandler) GoAway(c *http2.Conn, code http2.ErrCode) {
	h.removeConn(c)
	if code == http2.NoError {
		h.pool.router.WorkerDraining(h.worker.id)
	} else {
		h.pool.config.Logger.Warn("worker closed the connection", "endpoint", h.worker.id, "code", code.String())
	}
}

// ConnClosed implements http2.Handler. If the connection could still carry new streams, it was lost: the worker closed it,
// its process ended, or the network failed.
func (h *connHandler) ConnClosed(c *http2.Conn, err error) {
	lost := h.removeConn(c)
	h.pool.mu.Lock()
	h.connClosed = true
	delete(h.pool.open, c)
	closing := h.pool.closed
	h.pool.mu.Unlock()
	if lost && !closing {
		h.pool.router.WorkerConnectionLost(h.worker.id)
	}
}

// removeConn removes the connection from the worker's list, and reports whether it was there. If dial has not added it
// yet, noNewStreams prevents it.
func (h *connHandler) removeConn(c *http2.Conn) (found bool) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.noNewStreams = true
	delete(h.worker.idleSince, c)
	for i, other := range h.worker.conns {
		if other == c {
			h.worker.conns = append(h.worker.conns[:i], h.worker.conns[i+1:]...)
			h.pool.reportConns(h.worker)
			return true
		}
	}
	return false
}
