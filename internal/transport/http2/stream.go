package http2

import (
	"encoding/binary"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Limits of what a connection remembers of streams.
const (
	// maxOpenStreams limits the streams that this end opens, whatever the peer allows.
	maxOpenStreams = 1 << 20
	// maxResetStreams is how many streams that this end reset are remembered. Beyond it the older half is
	// forgotten.
	maxResetStreams = 512
)

// Receiver receives the events of one stream. Headers and Data are called on the connection's reading
// goroutine, in order; Sent, and Closed when this end finishes last, on the writing one. None may block.
// Closed is called once, last, unless this end called Reset.
type Receiver interface {
	// Headers delivers a request's or response's headers, and later perhaps trailers, which end the stream.
	// The slice belongs to the connection; the strings may be kept.
	Headers(s *Stream, fields []hpack.Field, end bool)
	// Data delivers bytes that belong to the connection and are valid until the call returns. Each byte must
	// be returned by [Stream.Consume], at once or later; until then the peer's window is that much smaller.
	Data(s *Stream, p []byte, end bool)
	// Sent reports that n more of the bytes that Write left queued have been framed for the socket.
	Sent(s *Stream, n int)
	// Closed reports that the stream is over: err is nil when both ends finished it, else a *StreamError.
	Closed(s *Stream, err error)
}

// Stream is one exchange on a connection. Its methods may be called from any goroutine.
type Stream struct {
	conn     *Conn
	id       uint32
	receiver Receiver

	// Guarded by conn.mu.
	sendWindow      int64 // bytes of DATA that this end may send
	recvWindow      int64 // bytes of DATA that the peer may send
	recvCredit      int64 // bytes consumed and not yet returned by WINDOW_UPDATE
	unconsumed      int64 // bytes delivered and not yet consumed
	sendBuffer      []byte
	sendOffset      int           // sendBuffer before it has been framed
	trailers        []hpack.Field // to be sent behind sendBuffer
	endQueued       bool          // the end is to be sent behind sendBuffer
	inSendQueue     bool          // in conn.sendQueue
	endSent         bool          // this end has sent END_STREAM
	endReceived     bool          // the peer has sent END_STREAM
	headersReceived bool
	informational   bool // the headers received last were informational (1xx)
	closed          bool // removed from the connection
}

// ID returns the stream's number on its connection.
func (s *Stream) ID() uint32 { return s.id }

// Conn returns the stream's connection.
func (s *Stream) Conn() *Conn { return s.conn }

// AvailableStreams returns how many more streams this end may open now; 0 too when the connection accepts no
// more.
func (c *Conn) AvailableStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfterFlush || c.goAwayReceived || c.draining || c.streamIDsExhausted() {
		return 0
	}
	return max(c.maxLocalStreams()-c.numLocalStreams, 0)
}

// NumStreams returns how many streams are open.
func (c *Conn) NumStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// hasPendingWork reports whether a stream is open or something is yet to be written. A stream is no longer open once
// its end has been framed, while its last frames may still wait for the socket.
func (c *Conn) hasPendingWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (len(c.streams) > 0 || c.flushing)
}

// streamIDsExhausted reports whether the connection must be replaced to open another stream (RFC 9113, section
// 5.1.1). c.mu is held.
func (c *Conn) streamIDsExhausted() bool { return c.nextStreamID > maxStreamID-2 }

// maxLocalStreams returns how many streams this end may have open. c.mu is held.
func (c *Conn) maxLocalStreams() int { return int(min(c.peerMaxStreams, maxOpenStreams)) }

// OpenStream opens a stream at a client with its headers, and its body if there is one already. What is written is
// copied. After an error nothing was sent.
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

// WriteHeaders sends a server's response headers. With end they are the whole response.
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

// Write sends bytes, and the stream's end if end is set. It returns how many were framed; the rest are queued,
// and [Receiver.Sent] reports when they are framed. The caller limits what it has queued.
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

// WriteTrailers ends the stream with trailers, behind all that is queued. It keeps fields until they are sent.
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

// finishWrite ends a write of the stream's owner. c.mu is held and is released.
func (s *Stream) finishWrite() {
	s.conn.scheduleFlush()
	finished := s.removeIfFinished()
	s.conn.mu.Unlock()
	if finished {
		s.receiver.Closed(s, nil)
	}
}

// Reset ends the stream at once with a code. Closed is not called for it. A stream that is over is left as it
// is.
func (s *Stream) Reset(code ErrCode) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.closed {
		return
	}
	s.conn.queueRSTStream(s.id, code)
	s.remove()
}

// resetStream ends a stream on which the peer violated the protocol. c.mu is held and is released.
func (c *Conn) resetStream(s *Stream, code ErrCode, reason string) {
	c.queueRSTStream(s.id, code)
	s.remove()
	c.mu.Unlock()
	s.receiver.Closed(s, &StreamError{Code: code, Reason: reason})
}

// queueRSTStream queues RST_STREAM and remembers the stream for a while: frames that the peer sent before it
// got the reset are no error. c.mu is held.
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

// forgetOldResets forgets the older half of maxResetStreams. c.mu is held.
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

// removeIfFinished removes a stream that both ends have ended and then returns true, once. A server that has
// sent its whole response needs no more of the request and resets it with NO_ERROR (RFC 9113, section 8.1).
// c.mu is held; after true the caller calls Receiver.Closed without it.
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

// remove takes a stream out of the connection. c.mu is held.
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
