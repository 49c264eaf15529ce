package grpcupstream

import (
	"time"

	"github.com/topazfront/topazfront/internal/transport/http2"
)

// idleSweepsPerTimeout is the number of sweeps for idle connections within Config.IdleTimeout.
const idleSweepsPerTimeout = 4

// closeIdle closes idle connections until the pool is closed. It runs on its own goroutine.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(max(p.config.IdleTimeout/idleSweepsPerTimeout, 1))
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			for _, c := range p.removeIdle(now) {
				c.Shutdown()
			}
		}
	}
}

// KeepConnections implements router.Upstream. While connections are kept, none is closed because it is idle.
func (p *Pool) KeepConnections(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep = keep
}

// removeIdle removes the connections that have had no stream for longer than the idle timeout, and returns them. If a
// call has just chosen one of them, its openStream fails and the call waits for a new connection.
func (p *Pool) removeIdle(now time.Time) (expired []*http2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		kept := w.conns[:0]
		for _, c := range w.conns {
			if w.idleFor(c, now) > p.config.IdleTimeout && !p.keep {
				delete(w.idleSince, c)
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(w.conns[len(kept):])
		w.conns = kept
		p.reportConns(w)
	}
	return expired
}

// idleFor returns the time since the first sweep that found a connection without a stream. It is 0 if the connection
// has a stream, and starts again when a call has used the connection. The caller holds the pool's lock.
func (w *worker) idleFor(c *http2.Conn, now time.Time) time.Duration {
	if c.NumStreams() > 0 {
		delete(w.idleSince, c)
		return 0
	}
	since, seen := w.idleSince[c]
	if !seen {
		w.idleSince[c] = now
		return 0
	}
	return now.Sub(since)
}
