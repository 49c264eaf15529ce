package discovery

import (
	"context"
	"errors"
)

// This file opens, keeps and ends the connection of the polls of a Watcher.

// closeConnection interrupts a pending poll, if any.
func (w *Watcher) closeConnection() {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		conn.close(errInterrupted)
	}
}

// releaseConnection closes the connection of a poll that ended with err. If the poll timed out, it becomes a late poll
// instead, because its response may still arrive. conn is nil if there was no connection.
func (w *Watcher) releaseConnection(conn *connection, interrupted bool, err error) {
	switch {
	case conn == nil:
	case !interrupted && errors.Is(err, errResponseTimeout):
		w.late.add(conn)
	default:
		conn.close(err)
	}
}

// ensureConnection returns the open connection to the current address, or establishes one. On an error, conn is nil.
// The error is errInterrupted if the address changed or the Watcher was closed while the connection was being
// established.
func (w *Watcher) ensureConnection(ctx context.Context) (address string, conn *connection, err error) {
	w.mu.Lock()
	address = w.address
	conn = w.conn
	w.mu.Unlock()
	if conn != nil && conn.address == address && !conn.isClosed() {
		return address, conn, nil
	}
	if conn != nil {
		conn.close(errInterrupted)
	}
	conn, err = w.cfg.dial(address, w.cfg)
	if err != nil {
		return address, nil, err
	}
	w.mu.Lock()
	interrupted := w.address != address || ctx.Err() != nil
	if !interrupted {
		w.conn = conn
	}
	w.mu.Unlock()
	if interrupted {
		conn.close(errInterrupted)
		return address, nil, errInterrupted
	}
	return address, conn, nil
}

// wasInterrupted reports whether a poll that ended with err was interrupted by SetAddress or Close, which is not a
// failure.
func (w *Watcher) wasInterrupted(ctx context.Context, polledAddress string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address != polledAddress || ctx.Err() != nil || errors.Is(err, errInterrupted)
}

// detachConnection makes the next poll use a new connection, and counts a failed poll.
func (w *Watcher) detachConnection(failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
	if failed {
		w.stats.FailedPolls++
	}
}
