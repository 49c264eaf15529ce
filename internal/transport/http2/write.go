package http2

import "fmt"

// queueControl queues a frame that answers the peer. It guards against a peer that causes answers and never
// reads them. c.mu is held.
func (c *Conn) queueControl(frame []byte) error {
	if c.queuedControl += len(frame); c.queuedControl > c.cfg.MaxControlBytes {
		return connError(EnhanceYourCalm, "%d bytes of answers wait for a peer that does not read", c.queuedControl)
	}
	c.writeBuffer = append(c.writeBuffer, frame...)
	c.scheduleFlush()
	return nil
}

// scheduleFlush starts the flush goroutine if there is something to write or to close and none runs. c.mu is
// held.
func (c *Conn) scheduleFlush() {
	if c.flushing || c.flushDeferred || c.closed ||
		len(c.writeBuffer) == 0 && len(c.sendQueue) == 0 && !c.closeAfterFlush {
		return
	}
	c.flushing = true
	go c.flush()
}

// flush writes until nothing is left, then ends. One goroutine at a time runs it, and it alone may block on the
// socket. A write error, or the end of a connection with closeAfterFlush, terminates the connection.
func (c *Conn) flush() {
	defer c.recoverPanic()
	var events []sendEvent
	for {
		c.mu.Lock()
		events = c.fillWriteBuffer(events[:0])
		if len(c.writeBuffer) == 0 || c.closed {
			c.flushing = false
			closing, err := c.closeAfterFlush && !c.closed, c.err
			c.mu.Unlock()
			notifySent(events)
			if closing {
				c.terminate(err)
				_ = c.netConn.Close()
			}
			return
		}
		buffer := c.writeBuffer
		c.writeBuffer, c.queuedControl = c.spareBuffer[:0], 0
		c.mu.Unlock()
		notifySent(events)
		if err := c.writeSocket(buffer); err != nil {
			c.terminate(fmt.Errorf("http2: write to %v: %w", c.netConn.RemoteAddr(), err))
			_ = c.netConn.Close()
			return
		}
		if cap(buffer) > 2*c.cfg.SendBufferSize { // grown beyond its usual size; its memory is released
			buffer = nil
		}
		c.mu.Lock()
		c.spareBuffer = buffer
		c.mu.Unlock()
	}
}

// writeSocket blocks until the socket has accepted p, up to Config.WriteTimeout.
func (c *Conn) writeSocket(p []byte) error {
	w := c.netConn.Writer()
	if _, err := w.WriteBinary(p); err != nil {
		return err
	}
	return w.Flush()
}

// fillWriteBuffer moves queued bytes of the streams into writeBuffer, one frame of each stream in turn, as the
// windows and the buffer allow. It appends an event for each stream that made progress. c.mu is held.
func (c *Conn) fillWriteBuffer(events []sendEvent) []sendEvent {
	// The round ends when as many streams in a row as are queued are blocked by a window.
	for blocked := 0; blocked < len(c.sendQueue) && len(c.writeBuffer) < c.cfg.SendBufferSize; {
		s := c.sendQueue[0]
		copy(c.sendQueue, c.sendQueue[1:])
		c.sendQueue = c.sendQueue[:len(c.sendQueue)-1]
		if s.closed {
			s.inSendQueue = false
			continue
		}
		n := s.sendQueued(c.peerMaxFrameSize)
		if s.inSendQueue = !s.allSent(); s.inSendQueue {
			c.sendQueue = append(c.sendQueue, s)
		}
		if n == 0 && s.inSendQueue {
			blocked++
		} else {
			blocked = 0
		}
		if finished := s.removeIfFinished(); n > 0 || finished {
			events = append(events, sendEvent{s, n, finished})
		}
	}
	return events
}

// sendEvent is the progress of one stream's queued bytes. It is delivered without the lock.
type sendEvent struct {
	stream   *Stream
	n        int // bytes framed
	finished bool
}

func notifySent(events []sendEvent) {
	for _, event := range events {
		if event.n > 0 {
			event.stream.receiver.Sent(event.stream, event.n)
		}
		if event.finished {
			event.stream.receiver.Closed(event.stream, nil)
		}
	}
}

// sendOrQueue frames what the windows allow now and queues the rest. It returns how many bytes it framed. c.mu
// is held.
func (s *Stream) sendOrQueue(p []byte, end bool) int {
	s.endQueued = end
	if s.inSendQueue || s.sendOffset < len(s.sendBuffer) {
		s.appendToSendBuffer(p)
		return 0
	}
	total := len(p)
	for {
		n := s.sendQuota(len(p))
		if n < len(p) && n == 0 || len(p) == 0 && !end {
			break
		}
		last := end && n == len(p)
		s.appendDataFrame(p[:n], last)
		if p = p[n:]; len(p) == 0 {
			s.endSent = s.endSent || last
			return total
		}
	}
	s.sendBuffer, s.sendOffset = append(s.sendBuffer[:0], p...), 0
	s.joinSendQueue()
	return total - len(p)
}

// appendToSendBuffer queues bytes after those that wait already. c.mu is held.
func (s *Stream) appendToSendBuffer(p []byte) {
	if s.sendOffset > len(s.sendBuffer)/2 { // drop what has been framed
		s.sendBuffer, s.sendOffset = s.sendBuffer[:copy(s.sendBuffer, s.sendBuffer[s.sendOffset:])], 0
	}
	s.sendBuffer = append(s.sendBuffer, p...)
	s.joinSendQueue()
}

// appendDataFrame appends one DATA frame, which the windows must allow. c.mu is held.
func (s *Stream) appendDataFrame(p []byte, end bool) {
	h := frameHeader{length: len(p), typ: frameData, streamID: s.id}
	if end {
		h.flags = flagEndStream
	}
	s.conn.writeBuffer = append(appendFrameHeader(s.conn.writeBuffer, h), p...)
	s.sendWindow -= int64(len(p))
	s.conn.sendWindow -= int64(len(p))
}

// sendQueued frames up to limit queued bytes, and the stream's end, with its trailers, when nothing is left. It
// returns how many bytes it framed. c.mu is held.
func (s *Stream) sendQueued(limit int) int {
	n := 0
	if left := len(s.sendBuffer) - s.sendOffset; left > 0 {
		n = s.sendQuota(min(left, limit))
		if n == 0 {
			return 0
		}
		last := s.endQueued && n == left && s.trailers == nil
		s.appendDataFrame(s.sendBuffer[s.sendOffset:s.sendOffset+n], last)
		s.endSent = s.endSent || last
		if s.sendOffset += n; s.sendOffset == len(s.sendBuffer) {
			s.sendBuffer, s.sendOffset = s.sendBuffer[:0], 0
		}
	}
	if len(s.sendBuffer) == 0 && s.endQueued && !s.endSent {
		if s.trailers != nil {
			s.appendHeaderBlock(s.trailers, true)
		} else {
			s.appendDataFrame(nil, true)
			s.endSent = true
		}
	}
	return n
}

// allSent reports whether nothing is queued, neither bytes nor the end.
func (s *Stream) allSent() bool { return len(s.sendBuffer) == 0 && (!s.endQueued || s.endSent) }

// joinSendQueue puts a stream with something queued at the end of the connection's send queue. c.mu is held.
func (s *Stream) joinSendQueue() {
	if !s.inSendQueue && !s.allSent() {
		s.inSendQueue = true
		s.conn.sendQueue = append(s.conn.sendQueue, s)
	}
}
