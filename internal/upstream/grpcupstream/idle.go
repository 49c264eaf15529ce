package grpcupstream

import (
	"time"

	"github.com/topazfront/topazfront/internal/transport/http2"
)

// idleSweepsPerTimeout is how many times within Config.IdleTimeout idle connections are looked for.
const idleSweepsPerTimeout = 4

// closeIdle closes idle connections until the pool is closed. It runs on a goroutine of its own.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(max(p.config.IdleTimeout/idleSweepsPerTimeout, 1))
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			for _, c := range p.takeIdle(now) {
				c.Shutdown()
			}
		}
	}
}

// takeIdle removes the connections that have had no stream for the idle timeout and returns them. A call that has just
// chosen one of them finds it closing, and waits for another.
func (p *Pool) takeIdle(now time.Time) (expired []*http2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		kept := w.conns[:0]
		for _, c := range w.conns {
			if w.idleFor(c, now) > p.config.IdleTimeout {
				delete(w.idleSince, c)
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(w.conns[len(kept):])
		w.conns = kept
	}
	return expired
}

// idleFor returns for how long a connection has been seen without a stream, and unused. The pool's lock is held.
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
