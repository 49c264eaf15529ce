package http2

import (
	"encoding/binary"
	"errors"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// shortContinuation is the length in bytes below which a CONTINUATION frame without END_HEADERS counts as a glitch.
const shortContinuation = 64

func (c *Conn) handleHeaders(h frameHeader, payload []byte) error {
	if h.streamID == 0 {
		return connError(ProtocolError, "HEADERS on stream 0")
	}
	payload, err := stripPadding(h, payload)
	if err != nil {
		return err
	}
	if h.flags&flagPriority != 0 {
		if len(payload) < priorityLen {
			return connError(FrameSizeError, "HEADERS too short for its priority")
		}
		if binary.BigEndian.Uint32(payload)&maxStreamID == h.streamID {
			return connError(ProtocolError, "stream %d depends on itself", h.streamID)
		}
		payload = payload[priorityLen:]
	}
	c.headerBlockStart = h
	if h.flags&flagEndHeaders != 0 {
		return c.handleHeaderBlock(h, payload)
	}
	if len(payload) > c.cfg.MaxHeaderBlockSize {
		return connError(EnhanceYourCalm, "header block over %d bytes", c.cfg.MaxHeaderBlockSize)
	}
	c.headerBlock = append(c.headerBlock[:0], payload...)
	c.expectContinuation = true
	return nil
}

func (c *Conn) handleContinuation(h frameHeader, payload []byte) error {
	if !c.expectContinuation {
		return connError(ProtocolError, "CONTINUATION without HEADERS")
	}
	if len(c.headerBlock)+len(payload) > c.cfg.MaxHeaderBlockSize { // guards against CONTINUATION floods
		return connError(EnhanceYourCalm, "header block over %d bytes", c.cfg.MaxHeaderBlockSize)
	}
	if len(payload) < shortContinuation && h.flags&flagEndHeaders == 0 {
		if err := c.countGlitch("short CONTINUATION frames"); err != nil {
			return err
		}
	}
	c.headerBlock = append(c.headerBlock, payload...)
	if h.flags&flagEndHeaders == 0 {
		return nil
	}
	c.expectContinuation = false
	return c.handleHeaderBlock(c.headerBlockStart, c.headerBlock)
}

// handleHeaderBlock handles a complete header block; h is the header of its HEADERS frame. The block is decoded even
// if it is then ignored or rejected, because the dynamic tables of the two ends must stay equal.
func (c *Conn) handleHeaderBlock(h frameHeader, block []byte) error {
	fields, err := c.decoder.Decode(c.fieldBuffer[:0], block)
	c.fieldBuffer = fields
	tooLarge := errors.Is(err, hpack.ErrHeaderListTooLarge)
	if err != nil && !tooLarge {
		return connError(CompressionError, "%v", err)
	}
	defer clear(c.fieldBuffer)
	end := h.flags&flagEndStream != 0
	c.mu.Lock()
	if s := c.streams[h.streamID]; s != nil {
		return c.handleStreamHeaders(s, fields, end, tooLarge)
	}
	switch {
	case c.resetStreams[h.streamID]:
		c.mu.Unlock()
		return nil
	case !c.isPeerStream(h.streamID) || c.isClient:
		idle := c.isIdle(h.streamID)
		c.mu.Unlock()
		if idle {
			return connError(ProtocolError, "HEADERS on idle stream %d", h.streamID)
		}
		return c.countGlitch("frames on closed streams")
	case h.streamID <= c.lastPeerStreamID:
		c.mu.Unlock()
		return connError(StreamClosed, "HEADERS on stream %d, which is closed", h.streamID)
	}
	return c.handleRequest(h.streamID, fields, end, tooLarge)
}

// handleRequest opens a stream for a request or rejects the request. c.mu is held and is released.
func (c *Conn) handleRequest(streamID uint32, fields []hpack.Field, end, tooLarge bool) error {
	c.lastPeerStreamID = streamID
	malformed := checkHeaders(fields, true)
	switch {
	case c.finalGoAwaySent || c.closeAfterFlush:
		c.mu.Unlock()
		return nil // above the last stream of our GOAWAY, so the peer knows that it is not processed
	case c.numPeerStreams >= int(c.cfg.MaxConcurrentStreams):
		c.queueRSTStream(streamID, RefusedStream)
		c.mu.Unlock()
		return c.countGlitch("streams beyond the limit")
	case tooLarge || malformed != "":
		code := ProtocolError
		if tooLarge {
			code = EnhanceYourCalm
		}
		c.queueRSTStream(streamID, code)
		c.mu.Unlock()
		return c.countGlitch("malformed requests")
	}
	s := &Stream{conn: c, id: streamID, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow),
		headersReceived: true, endReceived: end}
	c.mu.Unlock()
	s.receiver = c.handler.StreamOpened(s)
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.streams[s.id] = s
		c.numPeerStreams++
	}
	c.mu.Unlock()
	if !closed {
		s.receiver.Headers(s, fields, end)
	}
	return nil
}

// handleStreamHeaders handles HEADERS on an open stream: response headers or trailers. c.mu is held and is released.
func (c *Conn) handleStreamHeaders(s *Stream, fields []hpack.Field, end, tooLarge bool) error {
	trailers := s.headersReceived && !s.informational
	reason := ""
	switch {
	case s.endReceived:
		reason = "HEADERS behind the end of the stream"
	case tooLarge:
		reason = hpack.ErrHeaderListTooLarge.Error()
	case trailers && !end:
		reason = "trailers that do not end the stream"
	case trailers:
		reason = checkTrailers(fields)
	default:
		reason = checkHeaders(fields, false)
	}
	if reason != "" {
		c.resetStream(s, ProtocolError, reason)
		return nil
	}
	s.headersReceived = true
	s.informational = !trailers && isInformational(fields[0].Value)
	if s.informational { // the headers of the final response follow
		c.mu.Unlock()
		return c.countGlitch("interim responses")
	}
	s.endReceived = end
	finished := s.removeIfFinished()
	c.mu.Unlock()
	s.receiver.Headers(s, fields, end)
	if finished {
		s.receiver.Closed(s, nil)
	}
	return nil
}

// isInformational reports whether the value of :status is 1xx (RFC 9113, section 8.1).
func isInformational(status string) bool { return len(status) == 3 && status[0] == '1' }

// appendHeaderBlock encodes fields and appends the frames that carry them, each within the peer's
// SETTINGS_MAX_FRAME_SIZE. c.mu is held.
func (s *Stream) appendHeaderBlock(fields []hpack.Field, end bool) {
	c := s.conn
	start := len(c.writeBuffer)
	c.writeBuffer = appendFrameHeader(c.writeBuffer, frameHeader{typ: frameHeaders, streamID: s.id}) // overwritten below
	c.writeBuffer = c.encoder.BeginBlock(c.writeBuffer)
	for _, f := range fields {
		c.writeBuffer = c.encoder.AppendField(c.writeBuffer, f)
	}
	h := frameHeader{
		length:   len(c.writeBuffer) - start - frameHeaderLen,
		typ:      frameHeaders,
		flags:    flagEndHeaders,
		streamID: s.id,
	}
	if end {
		h.flags |= flagEndStream
		s.endSent = true
	}
	if h.length > c.peerMaxFrameSize {
		c.splitHeaderBlock(start, h)
		return
	}
	appendFrameHeader(c.writeBuffer[start:start], h)
}

// splitHeaderBlock replaces the oversized HEADERS frame that begins at writeBuffer[start] by HEADERS and
// CONTINUATION frames of sizes that the peer accepts. c.mu is held.
func (c *Conn) splitHeaderBlock(start int, h frameHeader) {
	block := append([]byte(nil), c.writeBuffer[start+frameHeaderLen:]...)
	c.writeBuffer = c.writeBuffer[:start]
	h.flags &^= flagEndHeaders
	for len(block) > 0 {
		n := min(len(block), c.peerMaxFrameSize)
		if h.length = n; n == len(block) {
			h.flags |= flagEndHeaders
		}
		c.writeBuffer = append(appendFrameHeader(c.writeBuffer, h), block[:n]...)
		block = block[n:]
		h.typ, h.flags = frameContinuation, 0
	}
}
