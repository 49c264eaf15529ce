package http2

import "fmt"

// queueControl queues a SETTINGS or PING acknowledgement. Its limit guards against a peer that causes acknowledgements
// and never reads them. c.mu is held.
func (c *Conn) queueControl(frame []byte) error {
	if c.queuedControl += len(frame); c.queuedControl > c.cfg.MaxControlBytes {
		return connError(EnhanceYourCalm, "%d bytes of answers wait for a peer that does not read", c.queuedControl)
	}
	c.writeBuffer = append(c.writeBuffer, frame...)
	c.scheduleFlush()
	return nil
}

// scheduleFlush starts the flush goroutine if there is something to write or the connection is to be closed, unless
// the goroutine is already running or flushes are deferred. c.mu is held.
func (c *Conn) scheduleFlush() {
	if c.flushing || c.flushDeferred || c.closed ||
		len(c.writeBuffer) == 0 && len(c.sendQueue) == 0 && !c.closeAfterFlush {
		return
	}
	c.flushing = true
	go c.flush()
}

// flush writes to the socket until nothing is left. It runs on one goroutine at a time, the only one that may block on
// the socket. It terminates the connection after a write error, or when all is written and closeAfterFlush is set.
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
		if cap(buffer) > 2*c.cfg.SendBufferSize { // larger than usual: not reused, so that its memory is freed
			buffer = nil
		}
		c.mu.Lock()
		c.spareBuffer = buffer
		c.mu.Unlock()
	}
}

// writeSocket writes p and blocks until the socket has accepted it, up to Config.WriteTimeout.
func (c *Conn) writeSocket(p []byte) error {
	if err := c.netConn.SetWriteDeadline(deadlineAfter(c.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := c.netConn.Write(p)
	return err
}

// fillWriteBuffer moves queued bytes of the streams into writeBuffer, round-robin by one frame per stream, as far as
// the windows and SendBufferSize allow. It appends an event for each stream that made progress. c.mu is held.
func (c *Conn) fillWriteBuffer(events []sendEvent) []sendEvent {
	// The loop ends when all queued streams, one after the other, were blocked by a window, or when the buffer is full.
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

// sendEvent is progress in sending one stream's queued bytes. notifySent reports it to the Receiver without c.mu.
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

// sendOrQueue frames as much of p as the windows and SendBufferSize allow now and queues the rest. It returns the
// number of bytes framed. c.mu is held.
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

// appendToSendBuffer queues p after the bytes that are already queued. c.mu is held.
func (s *Stream) appendToSendBuffer(p []byte) {
	if s.sendOffset > len(s.sendBuffer)/2 { // drop the bytes that have been framed
		s.sendBuffer, s.sendOffset = s.sendBuffer[:copy(s.sendBuffer, s.sendBuffer[s.sendOffset:])], 0
	}
	s.sendBuffer = append(s.sendBuffer, p...)
	s.joinSendQueue()
}

// appendDataFrame appends one DATA frame. The caller has checked that the windows allow it. c.mu is held.
func (s *Stream) appendDataFrame(p []byte, end bool) {
	h := frameHeader{length: len(p), typ: frameData, streamID: s.id}
	if end {
		h.flags = flagEndStream
	}
	s.conn.writeBuffer = append(appendFrameHeader(s.conn.writeBuffer, h), p...)
	s.sendWindow -= int64(len(p))
	s.conn.sendWindow -= int64(len(p))
}

// sendQueued frames up to limit queued bytes and, when none are left, the trailers or END_STREAM. It returns the number
// of bytes framed. c.mu is held.
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

// allSent reports whether neither bytes nor END_STREAM are queued.
func (s *Stream) allSent() bool { return len(s.sendBuffer) == 0 && (!s.endQueued || s.endSent) }

// joinSendQueue appends the stream to the connection's send queue if it has anything queued. c.mu is held.
func (s *Stream) joinSendQueue() {
	if !s.inSendQueue && !s.allSent() {
		s.inSendQueue = true
		s.conn.sendQueue = append(s.conn.sendQueue, s)
	}
}
