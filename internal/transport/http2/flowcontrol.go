package http2

import "encoding/binary"

// smallIncrement is the increment in bytes below which a WINDOW_UPDATE counts as a glitch.
const smallIncrement = 64

func (c *Conn) handleData(h frameHeader, payload []byte) error {
	if h.streamID == 0 {
		return connError(ProtocolError, "DATA on stream 0")
	}
	body, err := stripPadding(h, payload)
	if err != nil {
		return err
	}
	end := h.flags&flagEndStream != 0
	c.mu.Lock()
	if c.recvWindow -= int64(h.length); c.recvWindow < 0 {
		c.mu.Unlock()
		return connError(FlowControlError, "peer sent beyond the connection's window")
	}
	// The connection's window only limits bursts and is replenished on receipt. If it were replenished when the
	// Receiver consumes the bytes, a few streams with slow readers would block all others.
	c.replenishWindow(int64(h.length))
	s := c.streams[h.streamID]
	if s == nil || s.endReceived {
		return c.rejectData(h.streamID, s)
	}
	if s.recvWindow -= int64(h.length); s.recvWindow < 0 {
		c.resetStream(s, FlowControlError, "peer sent beyond the stream's window")
		return nil
	}
	s.unconsumed += int64(len(body))
	s.replenishWindow(int64(h.length - len(body))) // the padding
	s.endReceived = end
	finished := s.removeIfFinished()
	c.mu.Unlock()
	if len(body) == 0 && !end {
		if err := c.countGlitch("empty DATA frames"); err != nil {
			return err
		}
	}
	s.receiver.Data(s, body, end)
	if finished {
		s.receiver.Closed(s, nil)
	}
	return nil
}

// rejectData handles DATA on stream s after the peer's END_STREAM or, if s is nil, on a stream that is not open.
// c.mu is held and is released.
func (c *Conn) rejectData(streamID uint32, s *Stream) error {
	idle, wasReset := c.isIdle(streamID), c.resetStreams[streamID]
	var err error
	switch {
	case idle:
		err = connError(ProtocolError, "DATA on idle stream %d", streamID)
	case s != nil || !wasReset:
		c.queueRSTStream(streamID, StreamClosed)
	}
	if s != nil {
		s.remove()
	}
	c.mu.Unlock()
	if s != nil {
		s.receiver.Closed(s, &StreamError{Code: StreamClosed, Reason: "DATA behind the end of the stream"})
	}
	if err == nil && !wasReset {
		err = c.countGlitch("frames on closed streams")
	}
	return err
}

func (c *Conn) handleWindowUpdate(h frameHeader, payload []byte) error {
	if h.length != windowUpdateLen {
		return connError(FrameSizeError, "WINDOW_UPDATE of %d bytes", h.length)
	}
	increment := int64(binary.BigEndian.Uint32(payload) & maxWindowSize)
	if h.streamID == 0 {
		return c.handleConnWindowUpdate(increment)
	}
	c.mu.Lock()
	s, idle := c.streams[h.streamID], c.isIdle(h.streamID)
	if idle {
		c.mu.Unlock()
		return connError(ProtocolError, "WINDOW_UPDATE on idle stream %d", h.streamID)
	}
	if s == nil {
		c.mu.Unlock()
		return nil
	}
	s.sendWindow += increment
	if increment == 0 || s.sendWindow > maxWindowSize {
		code, reason := ProtocolError, "WINDOW_UPDATE of 0"
		if increment != 0 {
			code, reason = FlowControlError, "the stream's window overflows"
		}
		c.resetStream(s, code, reason)
		return nil
	}
	c.scheduleFlush()
	c.mu.Unlock()
	return c.countSmallIncrement(increment)
}

func (c *Conn) handleConnWindowUpdate(increment int64) error {
	c.mu.Lock()
	c.sendWindow += increment
	overflow := c.sendWindow > maxWindowSize
	c.scheduleFlush()
	c.mu.Unlock()
	switch {
	case increment == 0:
		return connError(ProtocolError, "WINDOW_UPDATE of 0")
	case overflow:
		return connError(FlowControlError, "the connection's window overflows")
	}
	return c.countSmallIncrement(increment)
}

func (c *Conn) countSmallIncrement(increment int64) error {
	if increment < smallIncrement {
		return c.countGlitch("small WINDOW_UPDATE frames")
	}
	return nil
}

// replenishWindow credits n bytes to the connection's receive window. WINDOW_UPDATE is sent once the credit reaches
// half the window. c.mu is held.
func (c *Conn) replenishWindow(n int64) {
	if c.recvCredit += n; c.recvCredit >= int64(c.cfg.ConnWindow)/2 {
		c.writeBuffer = appendWindowUpdate(c.writeBuffer, 0, uint32(c.recvCredit))
		c.recvWindow += c.recvCredit
		c.recvCredit = 0
		c.scheduleFlush()
	}
}

// Consume tells the stream that n bytes delivered by [Receiver.Data] have been processed, so that the peer may send
// as many more.
func (s *Stream) Consume(n int) {
	if n <= 0 {
		return
	}
	s.conn.mu.Lock()
	consumed := min(int64(n), s.unconsumed)
	s.unconsumed -= consumed
	s.replenishWindow(consumed)
	s.conn.mu.Unlock()
}

// replenishWindow credits n bytes to the stream's receive window. WINDOW_UPDATE is sent once the credit reaches half
// the window. c.mu is held.
func (s *Stream) replenishWindow(n int64) {
	if s.closed || s.endReceived || n == 0 {
		return
	}
	if s.recvCredit += n; s.recvCredit >= int64(s.conn.cfg.StreamWindow)/2 {
		s.conn.writeBuffer = appendWindowUpdate(s.conn.writeBuffer, s.id, uint32(s.recvCredit))
		s.recvWindow += s.recvCredit
		s.recvCredit = 0
		s.conn.scheduleFlush()
	}
}

// sendQuota returns how many of n bytes may be sent in one DATA frame now. c.mu is held.
func (s *Stream) sendQuota(n int) int {
	c := s.conn
	quota := min(int64(n), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameSize))
	if len(c.writeBuffer) >= c.cfg.SendBufferSize {
		quota = 0
	}
	return int(max(quota, 0))
}
