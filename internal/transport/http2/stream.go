package http2

import (
	"encoding/binary"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Limits on the streams that a connection keeps state for.
const (
	// maxOpenStreams limits the streams that this end has open at once, even if the peer allows more.
	maxOpenStreams = 1 << 20
	// maxResetStreams is the number of streams reset by this end that the connection remembers. Above it the older
	// half is dropped.
	maxResetStreams = 512
)

// Receiver receives the events of one stream. Headers and Data are called in order on the connection's reading
// goroutine, and Sent on the one that flushes. Closed is called on the goroutine that ends the stream: one of these, or
// one that calls a write method of the stream or Conn.Close. No method may block. Closed is the last call and is made
// once, but not after this end called Reset.
type Receiver interface {
	// Headers delivers the headers of a request or response, and later its trailers, if any. end reports that
	// the peer has ended the stream, as trailers always do. The slice belongs to the connection and is valid until
	// the call returns; the strings may be kept.
	Headers(s *Stream, fields []hpack.Field, end bool)
	// Data delivers bytes that belong to the connection and are valid until the call returns. end reports that the
	// peer has ended the stream. Every byte must be passed to [Stream.Consume] at once or later; until then it
	// occupies the stream's receive window.
	Data(s *Stream, p []byte, end bool)
	// Sent reports that n bytes that Write had queued have now been framed.
	Sent(s *Stream, n int)
	// Closed reports that the stream has ended: err is nil if both ends finished it, else a *StreamError.
	Closed(s *Stream, err error)
}

// Stream is one HTTP/2 stream: one request and its response. Its methods may be called from any goroutine.
type Stream struct {
	conn     *Conn
	id       uint32
	receiver Receiver

	// Guarded by conn.mu.
	sendWindow      int64         // bytes of DATA that this end may send
	recvWindow      int64         // bytes of DATA that the peer may send
	recvCredit      int64         // bytes consumed for which no WINDOW_UPDATE has been sent yet
	unconsumed      int64         // bytes delivered to the Receiver and not yet consumed
	sendBuffer      []byte        // queued bytes
	sendOffset      int           // sendBuffer[:sendOffset] has been framed
	trailers        []hpack.Field // to be sent after sendBuffer
	endQueued       bool          // END_STREAM is to be sent after sendBuffer
	inSendQueue     bool          // the stream is in conn.sendQueue
	endSent         bool          // this end has sent END_STREAM
	endReceived     bool          // the peer has sent END_STREAM
	headersReceived bool
	informational   bool // the most recent headers were those of an informational (1xx) response
	closed          bool // removed from the connection
}

// ID returns the stream's identifier.
func (s *Stream) ID() uint32 { return s.id }

// Conn returns the stream's connection.
func (s *Stream) Conn() *Conn { return s.conn }

// AvailableStreams returns the number of streams that this end may open now. It is 0 if the connection accepts no more
// streams.
func (c *Conn) AvailableStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfterFlush || c.goAwayReceived || c.draining || c.streamIDsExhausted() {
		return 0
	}
	return max(c.maxLocalStreams()-c.numLocalStreams, 0)
}

// NumStreams returns the number of open streams.
func (c *Conn) NumStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// hasPendingWork reports whether a stream is open or frames are still to be written. A stream ends once its last frame
// has been framed, although that frame may still be waiting for the socket.
func (c *Conn) hasPendingWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (len(c.streams) > 0 || c.flushing)
}

// streamIDsExhausted reports whether no stream ID is left, so that a new stream needs a new connection (RFC 9113,
// section 5.1.1). c.mu is held.
func (c *Conn) streamIDsExhausted() bool { return c.nextStreamID > maxStreamID-2 }

// maxLocalStreams returns the number of streams that this end may have open. c.mu is held.
func (c *Conn) maxLocalStreams() int { return int(min(c.peerMaxStreams, maxOpenStreams)) }

// OpenStream opens a stream at a client and sends its headers, the part of the body that is available (it may be
// empty) and, if end is set, END_STREAM. fields and body are not retained. If it returns an error, nothing was sent.
func (c *Conn) OpenStream(receiver Receiver, fields []hpack.Field, body []byte, end bool) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.closeAfterFlush:
		return nil, ErrClosed
	case c.goAwayReceived || c.draining || c.streamIDsExhausted():
		return nil, ErrGoAway
	case c.numLocalStreams >= c.maxLocalStreams():
		return nil, ErrTooManyStreams
	}
	s := &Stream{conn: c, id: c.nextStreamID, receiver: receiver, sendWindow: c.peerInitialWindow,
		recvWindow: int64(c.cfg.StreamWindow)}
	c.nextStreamID += 2
	c.numLocalStreams++
	c.streams[s.id] = s
	s.appendHeaderBlock(fields, end && len(body) == 0)
	if len(body) > 0 {
		s.sendOrQueue(body, end)
	}
	c.scheduleFlush()
	return s, nil
}

// WriteHeaders sends the response headers at a server. If end is set, the response has no body and no trailers.
func (s *Stream) WriteHeaders(fields []hpack.Field, end bool) error {
	s.conn.mu.Lock()
	if s.closed || s.endSent {
		s.conn.mu.Unlock()
		return ErrClosed
	}
	s.appendHeaderBlock(fields, end)
	s.finishWrite()
	return nil
}

// Write sends p, followed by END_STREAM if end is set. It returns the number of bytes framed at once; the rest is
// queued, and [Receiver.Sent] reports when it has been framed. The caller must limit the bytes that it has queued.
func (s *Stream) Write(p []byte, end bool) (int, error) {
	s.conn.mu.Lock()
	if s.closed || s.endSent || s.endQueued {
		s.conn.mu.Unlock()
		return 0, ErrClosed
	}
	n := s.sendOrQueue(p, end)
	s.finishWrite()
	return n, nil
}

// WriteTrailers sends trailers, which end the stream, after all queued bytes. It retains fields until they are sent.
func (s *Stream) WriteTrailers(fields []hpack.Field) error {
	s.conn.mu.Lock()
	if s.closed || s.endSent || s.endQueued {
		s.conn.mu.Unlock()
		return ErrClosed
	}
	s.trailers, s.endQueued = fields, true
	if !s.inSendQueue {
		s.sendQueued(s.conn.peerMaxFrameSize)
		s.joinSendQueue()
	}
	s.finishWrite()
	return nil
}

// finishWrite flushes a write and closes the stream if both ends have now finished it. c.mu is held and is released.
func (s *Stream) finishWrite() {
	s.conn.scheduleFlush()
	finished := s.removeIfFinished()
	s.conn.mu.Unlock()
	if finished {
		s.receiver.Closed(s, nil)
	}
}

// Reset ends the stream at once by RST_STREAM with the given code. [Receiver.Closed] is not called. Reset has no effect
// on a stream that has ended.
func (s *Stream) Reset(code ErrCode) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.closed {
		return
	}
	s.conn.queueRSTStream(s.id, code)
	s.remove()
}

// resetStream resets a stream on which the peer violated the protocol. c.mu is held and is released.
func (c *Conn) resetStream(s *Stream, code ErrCode, reason string) {
	c.queueRSTStream(s.id, code)
	s.remove()
	c.mu.Unlock()
	s.receiver.Closed(s, &StreamError{Code: code, Reason: reason})
}

// queueRSTStream queues RST_STREAM and remembers the stream for a while, because frames that the peer sent before it
// received the reset are not errors. c.mu is held.
func (c *Conn) queueRSTStream(id uint32, code ErrCode) {
	c.writeBuffer = appendRSTStream(c.writeBuffer, id, code)
	if !c.resetStreams[id] {
		c.resetStreams[id] = true
		if c.resetOrder = append(c.resetOrder, id); len(c.resetOrder) > maxResetStreams {
			c.forgetOldResets()
		}
	}
	c.scheduleFlush()
}

// forgetOldResets drops the oldest maxResetStreams/2 entries of resetStreams. c.mu is held.
func (c *Conn) forgetOldResets() {
	const half = maxResetStreams / 2
	for _, id := range c.resetOrder[:half] {
		delete(c.resetStreams, id)
	}
	c.resetOrder = append(c.resetOrder[:0], c.resetOrder[half:]...)
}

func (c *Conn) handleRSTStream(h frameHeader, payload []byte) error {
	if h.length != rstStreamLen {
		return connError(FrameSizeError, "RST_STREAM of %d bytes", h.length)
	}
	code := ErrCode(binary.BigEndian.Uint32(payload))
	c.mu.Lock()
	if h.streamID == 0 || c.isIdle(h.streamID) {
		c.mu.Unlock()
		return connError(ProtocolError, "RST_STREAM on idle stream %d", h.streamID)
	}
	s := c.streams[h.streamID]
	if s != nil {
		s.remove()
	}
	c.mu.Unlock()
	if s != nil {
		s.receiver.Closed(s, &StreamError{Code: code, Reason: "RST_STREAM", Remote: true,
			Unprocessed: c.isClient && code == RefusedStream})
	}
	if c.isClient {
		return nil
	}
	return c.countGlitch("resets")
}

// removeIfFinished removes the stream and returns true if both ends have ended it. A server that has sent its whole
// response doesn't need the rest of the request and resets the stream with NO_ERROR (RFC 9113, section 8.1). c.mu is
// held. If the result is true, the caller must release c.mu and call Receiver.Closed.
func (s *Stream) removeIfFinished() bool {
	if s.closed || !s.endSent || !s.endReceived && s.conn.isClient {
		return false
	}
	if !s.endReceived {
		s.conn.queueRSTStream(s.id, NoError)
	}
	s.remove()
	return true
}

// remove marks the stream as closed and removes it from its connection. c.mu is held.
func (s *Stream) remove() {
	if s.closed {
		return
	}
	s.closed = true
	delete(s.conn.streams, s.id)
	if s.conn.isPeerStream(s.id) {
		s.conn.numPeerStreams--
	} else {
		s.conn.numLocalStreams--
	}
	s.sendBuffer, s.trailers = nil, nil
	s.conn.closeIfDrained()
}
