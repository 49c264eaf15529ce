package http2

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
)

// drainReason is the debug data of the GOAWAY frames of a graceful shutdown.
const drainReason = "draining"

// drainPing is the data of the PING frame that follows the first GOAWAY frame of a graceful shutdown.
var drainPing = [pingLen]byte{'d', 'r', 'a', 'i', 'n'}

// fail ends the connection because of err. After a *ConnError the peer gets GOAWAY first; after a read error the
// connection is closed at once.
func (c *Conn) fail(err error) {
	var connErr *ConnError
	if !errors.As(err, &connErr) {
		c.terminate(fmt.Errorf("http2: read from %v: %w", c.netConn.RemoteAddr(), err))
		_ = c.netConn.Close()
		return
	}
	c.mu.Lock()
	if c.closed || c.closeAfterFlush {
		c.mu.Unlock()
		return
	}
	c.writeBuffer = appendGoAway(c.writeBuffer, c.lastPeerStreamID, connErr.Code, connErr.Reason)
	c.closeAfterFlush, c.err = true, err
	c.scheduleFlush()
	c.mu.Unlock()
}

// terminate closes all streams and then calls Handler.ConnClosed. Every connection ends here; calls after the first
// have no effect. ConnClosed gets c.err if it is already set, else err.
func (c *Conn) terminate(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	if c.err == nil {
		c.err = err
	}
	streams := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		s.remove()
		streams = append(streams, s)
	}
	c.writeBuffer, c.sendQueue = nil, nil
	err = c.err
	c.mu.Unlock()
	cause := cmp.Or(err, errClosedLocal)
	for _, s := range streams {
		s.receiver.Closed(s, &StreamError{Code: InternalError, Reason: "connection lost", ConnLost: true, Err: cause})
	}
	c.handler.ConnClosed(c, err)
}

// Close closes the connection and its streams at once.
func (c *Conn) Close() {
	c.terminate(errClosedLocal)
	_ = c.netConn.Close()
}

// Shutdown starts a graceful shutdown and returns at once: no further streams are accepted or opened, and the
// connection is closed when the open ones have ended. A server first sends GOAWAY with the highest possible last
// stream, so that streams already on the way are still served, and a PING. When the peer has acknowledged the PING,
// the server sends the final GOAWAY (RFC 9113, section 6.8).
func (c *Conn) Shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.closed || c.closeAfterFlush {
		return
	}
	c.draining = true
	if c.isClient {
		c.closeIfDrained()
		return
	}
	c.writeBuffer = appendGoAway(c.writeBuffer, maxStreamID, NoError, drainReason)
	c.pendingPings[drainPing] = c.sendFinalGoAway
	c.writeBuffer = appendPing(c.writeBuffer, 0, drainPing[:])
	c.scheduleFlush()
}

// sendFinalGoAway sends the second GOAWAY of a graceful shutdown. The peer has received the first one by now, so
// streams that it opens from here on are ignored.
func (c *Conn) sendFinalGoAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfterFlush {
		return
	}
	c.finalGoAwaySent = true
	c.writeBuffer = appendGoAway(c.writeBuffer, c.lastPeerStreamID, NoError, drainReason)
	c.closeIfDrained()
	c.scheduleFlush()
}

// closeIfDrained closes the connection, after a flush, if it is draining and has no open streams. c.mu is held.
func (c *Conn) closeIfDrained() {
	drained := c.isClient && (c.draining || c.goAwayReceived) || c.finalGoAwaySent
	if drained && len(c.streams) == 0 && !c.closeAfterFlush {
		c.closeAfterFlush = true
		c.scheduleFlush()
	}
}

func (c *Conn) handleGoAway(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "GOAWAY on stream %d", h.streamID)
	}
	if h.length < goAwayMinLen {
		return connError(FrameSizeError, "GOAWAY of %d bytes", h.length)
	}
	lastStreamID, code := binary.BigEndian.Uint32(payload)&maxStreamID, ErrCode(binary.BigEndian.Uint32(payload[4:]))
	c.mu.Lock()
	c.goAwayReceived = true
	var unprocessed []*Stream
	for id, s := range c.streams {
		if !c.isPeerStream(id) && id > lastStreamID {
			s.remove()
			unprocessed = append(unprocessed, s)
		}
	}
	c.mu.Unlock()
	c.handler.GoAway(c, code)
	for _, s := range unprocessed {
		s.receiver.Closed(s, &StreamError{Code: code, Reason: "beyond the last stream of GOAWAY", Remote: true,
			Unprocessed: true})
	}
	c.mu.Lock()
	c.closeIfDrained()
	c.mu.Unlock()
	return c.countGlitch("GOAWAY frames")
}
