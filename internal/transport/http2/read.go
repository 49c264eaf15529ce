package http2

import (
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"time"
)

// framesPerFlush is the number of frames handled between two flushes of the write buffer, so that a peer that sends
// without pause still gets its responses.
const framesPerFlush = 64

// readLoop reads and handles frames until the connection ends, and then closes it. It reads no faster than the frames
// are handled, so that a peer that sends faster has to wait.
func (c *Conn) readLoop() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			break
		}
		c.readFrames()
	}
	c.terminate(errClosedByPeer)
	_ = c.netConn.Close()
}

// readFrames handles the frames of which a part has been read. For the rest of an incomplete frame header or payload it
// waits up to Config.FrameReadTimeout each.
func (c *Conn) readFrames() {
	defer c.recoverPanic()
	c.deferFlush(true)
	var err error
	for n := 1; err == nil && c.reader.Buffered() > 0; n++ {
		if c.failed() { // input that arrives after our GOAWAY is discarded
			_, err = c.reader.Discard(c.reader.Buffered())
		} else {
			err = c.readFrame()
		}
		if n%framesPerFlush == 0 {
			c.deferFlush(false)
			c.deferFlush(true)
		}
	}
	c.deferFlush(false)
	if err != nil {
		c.fail(err)
	}
}

// failed reports whether the connection has failed, so that only its GOAWAY remains to be written.
func (c *Conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeAfterFlush && c.err != nil
}

// recoverPanic ends a connection whose handler panicked, so that the Receivers of its streams are notified. Other
// connections are not affected.
func (c *Conn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic while a connection was handled", "peer", c.netConn.RemoteAddr(), "panic", p, "stack", string(debug.Stack()))
	if c.mu.TryLock() { // callbacks run without the lock, so it is free if one of them panicked
		c.flushDeferred = false
		c.mu.Unlock()
		c.terminate(fmt.Errorf("http2: panic while the connection was handled: %v", p))
	}
	_ = c.netConn.Close()
}

// readFrame reads and handles one frame, after the client preface if that has not been read yet.
func (c *Conn) readFrame() error {
	if !c.prefaceReceived {
		b, err := c.readBytes(len(clientPreface))
		if err != nil {
			return err
		}
		if string(b) != clientPreface {
			return connError(ProtocolError, "no HTTP/2 preface")
		}
		c.prefaceReceived = true
		if c.reader.Buffered() == 0 {
			return nil
		}
	}
	b, err := c.readBytes(frameHeaderLen)
	if err != nil {
		return err
	}
	h := parseFrameHeader(b)
	if h.length > int(c.cfg.MaxFrameSize) {
		return connError(FrameSizeError, "frame of %d bytes, at most %d taken", h.length, c.cfg.MaxFrameSize)
	}
	var payload []byte
	if h.length > 0 {
		if payload, err = c.readBytes(h.length); err != nil {
			return err
		}
	}
	return c.handleFrame(h, payload)
}

// readBytes returns the next n bytes, valid until its next call. While it waits for missing bytes, frames that other
// goroutines write are flushed without delay.
func (c *Conn) readBytes(n int) ([]byte, error) {
	if n > cap(c.frameBuffer) {
		c.frameBuffer = make([]byte, n)
	}
	bytes := c.frameBuffer[:n]
	if c.reader.Buffered() >= n {
		_, err := io.ReadFull(c.reader, bytes)
		return bytes, err
	}
	c.deferFlush(false)
	defer c.deferFlush(true)
	if err := c.netConn.SetReadDeadline(deadlineAfter(c.cfg.FrameReadTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(c.reader, bytes); err != nil {
		return nil, err
	}
	return bytes, c.netConn.SetReadDeadline(time.Time{})
}

// deadlineAfter returns the deadline of a read or write that starts now; zero if there is no limit.
func deadlineAfter(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// deferFlush sets whether written frames are collected while the reading goroutine handles frames. Switching it off
// flushes them.
func (c *Conn) deferFlush(on bool) {
	c.mu.Lock()
	c.flushDeferred = on
	c.scheduleFlush()
	c.mu.Unlock()
}

// handleFrame handles one frame. An error ends the connection. All input from the peer except its preface passes
// through here, so that a fuzz test can exercise it without a socket.
func (c *Conn) handleFrame(h frameHeader, payload []byte) error {
	if !c.settingsReceived && (h.typ != frameSettings || h.flags&flagAck != 0) {
		return connError(ProtocolError, "first frame is not SETTINGS")
	}
	if c.expectContinuation && (h.typ != frameContinuation || h.streamID != c.headerBlockStart.streamID) {
		return connError(ProtocolError, "a header block is interrupted")
	}
	switch h.typ {
	case frameData:
		return c.handleData(h, payload)
	case frameHeaders:
		return c.handleHeaders(h, payload)
	case frameContinuation:
		return c.handleContinuation(h, payload)
	case frameRSTStream:
		return c.handleRSTStream(h, payload)
	case frameSettings:
		return c.handleSettings(h, payload)
	case framePing:
		return c.handlePing(h, payload)
	case frameGoAway:
		return c.handleGoAway(h, payload)
	case frameWindowUpdate:
		return c.handleWindowUpdate(h, payload)
	case framePushPromise:
		return connError(ProtocolError, "PUSH_PROMISE, which is switched off")
	case framePriority:
		return c.handlePriority(h)
	}
	return c.countGlitch("frames of unknown type") // they must be ignored (RFC 9113, section 5.5)
}

// handlePriority ignores a PRIORITY frame, as RFC 9113, section 5.3 permits.
func (c *Conn) handlePriority(h frameHeader) error {
	if h.streamID == 0 || h.length != priorityLen {
		return connError(ProtocolError, "malformed PRIORITY")
	}
	return c.countGlitch("PRIORITY")
}

// countGlitch takes a token from the bucket for a glitch: a frame that is legal but costs this end more than the peer.
// All kinds share one bucket, which guards against floods of RST_STREAM, PING, SETTINGS and empty frames alike. An
// empty bucket is a connection error.
func (c *Conn) countGlitch(what string) error {
	now := time.Now()
	c.glitchTokens = min(c.glitchTokens+now.Sub(c.glitchTokensAt).Seconds()*c.cfg.GlitchRate, c.cfg.GlitchBurst)
	c.glitchTokensAt = now
	if c.glitchTokens--; c.glitchTokens < 0 {
		return connError(EnhanceYourCalm, "too many %s", what)
	}
	return nil
}
