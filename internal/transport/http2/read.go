package http2

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
)

// framesPerFlush is how many frames are handled before what they caused to be written is flushed: a peer that
// never stops sending must still get its answers.
const framesPerFlush = 64

// readFrames handles the frames that have arrived. netpoll calls it on one goroutine at a time, when bytes
// wait; the rest of a frame that is incomplete is waited for, up to Config.FrameReadTimeout.
func (c *Conn) readFrames() error {
	defer c.recoverPanic()
	c.deferFlush(true)
	r := c.netConn.Reader()
	var err error
	for n := 1; err == nil && r.Len() > 0; n++ {
		if c.failed() { // what follows our GOAWAY is not examined any more
			_ = r.Skip(r.Len())
		} else {
			err = c.readFrame(r)
		}
		_ = r.Release()
		if n%framesPerFlush == 0 {
			c.deferFlush(false)
			c.deferFlush(true)
		}
	}
	c.deferFlush(false)
	if err != nil {
		c.fail(err)
	}
	return nil
}

// failed reports whether the connection has failed and only its GOAWAY is still to be written.
func (c *Conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeAfterFlush && c.err != nil
}

// recoverPanic ends the connection whose handler panicked, so that the owners of its streams are notified.
// Other connections are not affected.
func (c *Conn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic while a connection was handled", "peer", c.netConn.RemoteAddr(), "panic", p, "stack", string(debug.Stack()))
	if c.mu.TryLock() { // callbacks are made without the lock, so it is free after their panics
		c.flushDeferred = false
		c.mu.Unlock()
		c.terminate(fmt.Errorf("http2: panic while the connection was handled: %v", p))
	}
	_ = c.netConn.Close()
}

// readFrame reads and handles the client preface, if it is still expected, and one frame.
func (c *Conn) readFrame(r netpoll.Reader) error {
	if !c.prefaceReceived {
		b, err := c.readBytes(r, len(clientPreface))
		if err != nil {
			return err
		}
		if string(b) != clientPreface {
			return connError(ProtocolError, "no HTTP/2 preface")
		}
		c.prefaceReceived = true
		if r.Len() == 0 {
			return nil
		}
	}
	b, err := c.readBytes(r, frameHeaderLen)
	if err != nil {
		return err
	}
	h := parseFrameHeader(b)
	if h.length > int(c.cfg.MaxFrameSize) {
		return connError(FrameSizeError, "frame of %d bytes, at most %d taken", h.length, c.cfg.MaxFrameSize)
	}
	var payload []byte
	if h.length > 0 {
		if payload, err = c.readBytes(r, h.length); err != nil {
			return err
		}
	}
	return c.handleFrame(h, payload)
}

// readBytes returns n bytes, valid until the reader's Release. While it waits for the rest of a frame, what
// other goroutines write is flushed as usual.
func (c *Conn) readBytes(r netpoll.Reader, n int) ([]byte, error) {
	if r.Len() >= n {
		return r.Next(n)
	}
	c.deferFlush(false)
	defer c.deferFlush(true)
	return r.Next(n)
}

// deferFlush starts, or ends, the collection of what is written while frames are read; it is flushed at the
// end.
func (c *Conn) deferFlush(on bool) {
	c.mu.Lock()
	c.flushDeferred = on
	c.scheduleFlush()
	c.mu.Unlock()
}

// handleFrame handles one frame. An error ends the connection. All input of the peer but its preface passes
// through here, so that a fuzz test can drive it without a socket.
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
	return c.countGlitch("frames of unknown type") // to be ignored: RFC 9113, section 5.5
}

// handlePriority ignores a PRIORITY frame, as RFC 9113, section 5.3 permits.
func (c *Conn) handlePriority(h frameHeader) error {
	if h.streamID == 0 || h.length != priorityLen {
		return connError(ProtocolError, "malformed PRIORITY")
	}
	return c.countGlitch("PRIORITY")
}

// countGlitch takes a token for a frame that is legal but costs this end more than the peer. It guards
// against floods of resets, pings, settings and empty frames, whatever their kind.
func (c *Conn) countGlitch(what string) error {
	now := time.Now()
	c.glitchTokens = min(c.glitchTokens+now.Sub(c.glitchTokensAt).Seconds()*c.cfg.GlitchRate, c.cfg.GlitchBurst)
	c.glitchTokensAt = now
	if c.glitchTokens--; c.glitchTokens < 0 {
		return connError(EnhanceYourCalm, "too many %s", what)
	}
	return nil
}
