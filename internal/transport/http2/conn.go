package http2

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Config bounds a connection. Zero fields take the values of [Defaults].
type Config struct {
	MaxConcurrentStreams uint32        // streams that the peer may have open at once
	StreamWindow         uint32        // bytes that the peer may send ahead on a stream,
	ConnWindow           uint32        // and on all streams together
	MaxFrameSize         uint32        // largest frame payload taken
	MaxHeaderListSize    int           // largest header list taken, counted as hpack.Field.Size does
	MaxHeaderBlockSize   int           // largest coded header block taken, over all its frames
	SendBufferSize       int           // bytes of DATA that may wait for the socket; more waits in its stream
	MaxControlBytes      int           // bytes of other frames that may wait for a peer that does not read
	GlitchBurst          float64       // odd but legal frames in a burst (resets, pings, settings, empty frames),
	GlitchRate           float64       // and a second, before the connection is ended
	FrameReadTimeout     time.Duration // a frame that began must be whole by then
	WriteTimeout         time.Duration // the socket must take what is written by then
}

// Defaults are the bounds in service.
var DefaultConfig = Config{
	MaxConcurrentStreams: 1000,
	StreamWindow:         256 << 10,
	ConnWindow:           4 << 20,
	MaxFrameSize:         minMaxFrameSize,
	MaxHeaderListSize:    16 << 10,
	MaxHeaderBlockSize:   32 << 10,
	SendBufferSize:       256 << 10,
	MaxControlBytes:      1 << 20,
	GlitchBurst:          2000,
	GlitchRate:           500,
	FrameReadTimeout:     20 * time.Second,
	WriteTimeout:         30 * time.Second,
}

func (c Config) withDefaults() Config {
	set := func(v, d uint32) uint32 {
		if v == 0 {
			return d
		}
		return v
	}
	c.MaxConcurrentStreams = set(c.MaxConcurrentStreams, DefaultConfig.MaxConcurrentStreams)
	c.StreamWindow = min(set(c.StreamWindow, DefaultConfig.StreamWindow), maxWindowSize)
	c.ConnWindow = min(max(set(c.ConnWindow, DefaultConfig.ConnWindow), defaultWindowSize), maxWindowSize)
	c.MaxFrameSize = max(set(c.MaxFrameSize, DefaultConfig.MaxFrameSize), minMaxFrameSize)
	if c.MaxHeaderListSize == 0 {
		c.MaxHeaderListSize = DefaultConfig.MaxHeaderListSize
	}
	if c.MaxHeaderBlockSize == 0 {
		c.MaxHeaderBlockSize = DefaultConfig.MaxHeaderBlockSize
	}
	if c.SendBufferSize == 0 {
		c.SendBufferSize = DefaultConfig.SendBufferSize
	}
	if c.MaxControlBytes == 0 {
		c.MaxControlBytes = DefaultConfig.MaxControlBytes
	}
	if c.GlitchBurst == 0 {
		c.GlitchBurst, c.GlitchRate = DefaultConfig.GlitchBurst, DefaultConfig.GlitchRate
	}
	if c.FrameReadTimeout == 0 {
		c.FrameReadTimeout = DefaultConfig.FrameReadTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultConfig.WriteTimeout
	}
	return c
}

// Handler hears of what concerns a whole connection. Its methods must not block.
type Handler interface {
	// Open is called at a server for each new stream, before its headers are handed over.
	Open(s *Stream) Receiver
	// GoAway tells that the peer takes no further streams. Streams that it has not processed are closed
	// with NeverRan right after.
	GoAway(c *Conn, code ErrCode)
	// Lost tells that the connection is over. All its streams have been closed before.
	ConnClosed(c *Conn, err error)
}

// Conn is one end of a connection.
type Conn struct {
	cfg      Config
	netConn  netpoll.Connection
	handler  Handler
	isClient bool

	// Of the reading goroutine.
	decoder            *hpack.Decoder
	fieldBuffer        []hpack.Field
	headerBlock        []byte      // a header block that CONTINUATION frames add to
	headerBlockStart   frameHeader // the HEADERS frame that began it
	expectContinuation bool
	prefaceReceived    bool // the preface has come
	settingsReceived   bool // the peer's first SETTINGS have come
	glitchTokens       float64
	glitchTokensAt     time.Time

	mu                       sync.Mutex
	encoder                  *hpack.Encoder
	writeBuffer, spareBuffer []byte // waiting for the socket; the buffer written last
	queuedControl            int    // bytes of frames other than DATA and HEADERS in out
	flushing                 bool
	flushDeferred            bool // the reading goroutine will flush when it is done
	closeAfterFlush          bool // close once out is written
	closed                   bool
	streams                  map[uint32]*Stream
	resetStreams             map[uint32]bool // streams that this end reset lately: what is in flight on them is ignored
	resetOrder               []uint32
	nextStreamID             uint32
	lastPeerStreamID         uint32 // highest stream that the peer opened
	numPeerStreams           int    // streams of the peer's that are open
	numLocalStreams          int    // streams of this end's that are open
	sendQueue                []*Stream
	sendWindow               int64
	recvWindow               int64 // what the peer may still send,
	recvCredit               int64 // and what was consumed but not yet granted again
	peerInitialWindow        int64
	peerMaxFrameSize         int
	peerMaxStreams           uint32 // streams that the peer lets this end have open
	goAwayReceived           bool   // the peer sent GOAWAY
	draining                 bool   // this end sent GOAWAY
	finalGoAwaySent          bool   // and the peer has seen it: streams beyond the last one are refused
	pendingPings             map[[8]byte]func()
	err                      error
}

func newConn(nc netpoll.Connection, cfg Config, h Handler, client bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{cfg: cfg, netConn: nc, handler: h, isClient: client,
		decoder: hpack.NewDecoder(hpack.DefaultTableSize, cfg.MaxHeaderListSize), encoder: hpack.NewEncoder(),
		glitchTokens: cfg.GlitchBurst, glitchTokensAt: time.Now(),
		streams: map[uint32]*Stream{}, resetStreams: map[uint32]bool{}, nextStreamID: 2,
		sendWindow: defaultWindowSize, recvWindow: int64(cfg.ConnWindow), peerInitialWindow: defaultWindowSize,
		peerMaxFrameSize: minMaxFrameSize, peerMaxStreams: assumedMaxStreams, prefaceReceived: client, pendingPings: map[[8]byte]func(){}}
	if client {
		c.nextStreamID = 1
	}
	c.queuePreface()
	_ = nc.SetReadTimeout(cfg.FrameReadTimeout)
	_ = nc.SetWriteTimeout(cfg.WriteTimeout)
	return c
}

// greet queues what each end says first (RFC 9113, section 3.4). It is there from the beginning: an answer to
// the peer's first frames, or a drain, must not get before it.
func (c *Conn) queuePreface() {
	if c.isClient {
		c.writeBuffer = append(c.writeBuffer, clientPreface...)
	}
	settings := []setting{{settingInitialWindowSize, c.cfg.StreamWindow}, {settingMaxConcurrentStreams, c.cfg.MaxConcurrentStreams},
		{settingMaxFrameSize, c.cfg.MaxFrameSize}, {settingMaxHeaderListSize, uint32(c.cfg.MaxHeaderListSize)}}
	if c.isClient {
		settings = append(settings, setting{settingEnablePush, 0})
	}
	c.writeBuffer = appendSettings(c.writeBuffer, settings)
	if increment := c.cfg.ConnWindow - defaultWindowSize; increment > 0 {
		c.writeBuffer = appendFrameHeader(c.writeBuffer, frameHeader{length: 4, typ: frameWindowUpdate})
		c.writeBuffer = appendUint32(c.writeBuffer, increment)
	}
}

// start has the greeting sent.
func (c *Conn) flushPreface() {
	c.mu.Lock()
	c.scheduleFlush()
	c.mu.Unlock()
}

// Dial connects to a server and returns once the socket is open; the settings are exchanged while streams
// are already sent, as RFC 9113, section 3.4 permits.
func Dial(network, addr string, timeout time.Duration, cfg Config, h Handler) (*Conn, error) {
	nc, err := netpoll.NewDialer().DialConnection(network, addr, timeout)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, cfg, h, true)
	if err := nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return c.readFrames() }); err != nil {
		_ = nc.Close()
		return nil, err
	}
	_ = nc.AddCloseCallback(func(netpoll.Connection) error {
		c.terminate(errors.New("connection closed by peer"))
		return nil
	})
	if !nc.IsActive() {
		return nil, errors.New("connection closed at once")
	}
	c.flushPreface()
	return c, nil
}

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() string { return c.netConn.RemoteAddr().String() }

// Reading ---------------------------------------------------------------------------------------------

// read handles the frames that have come. netpoll calls it on one goroutine at a time, with bytes waiting;
// a frame that is not whole is waited for, up to StallAfter.
func (c *Conn) readFrames() error {
	defer c.recoverPanic()
	c.deferFlush(true)
	r := c.netConn.Reader()
	var err error
	for n := 1; err == nil && r.Len() > 0; n++ {
		if c.failed() { // what comes behind our GOAWAY is not looked at any more
			_ = r.Skip(r.Len())
		} else {
			err = c.readFrame(r)
		}
		_ = r.Release()
		if n%64 == 0 { // a peer that never stops sending must not keep its answers back
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

// ending tells that the connection has failed and only its GOAWAY is still to be written.
func (c *Conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeAfterFlush && c.err != nil
}

// recovered ends the connection whose handling panicked, so that its streams are told; others go on.
func (c *Conn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic while a connection was handled", "peer", c.netConn.RemoteAddr(), "panic", p, "stack", string(debug.Stack()))
	if c.mu.TryLock() { // not held: callbacks are made without it
		c.flushDeferred = false
		c.mu.Unlock()
		c.terminate(fmt.Errorf("http2: panic: %v", p))
	}
	_ = c.netConn.Close()
}

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
	var p []byte
	if h.length > 0 {
		if p, err = c.readBytes(r, h.length); err != nil {
			return err
		}
	}
	return c.handleFrame(h, p)
}

// next returns n bytes, good until the reader's Release. While it waits for a peer in the middle of a frame,
// what other goroutines write is not held back.
func (c *Conn) readBytes(r netpoll.Reader, n int) ([]byte, error) {
	if r.Len() >= n {
		return r.Next(n)
	}
	c.deferFlush(false)
	defer c.deferFlush(true)
	return r.Next(n)
}

// hold collects what is written while frames are read, to be flushed at once.
func (c *Conn) deferFlush(on bool) {
	c.mu.Lock()
	c.flushDeferred = on
	c.scheduleFlush()
	c.mu.Unlock()
}

// handle acts on one frame. It is the parser's whole entry, so that a fuzzer can drive it.
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
		if h.streamID == 0 || h.length != 5 {
			return connError(ProtocolError, "malformed PRIORITY")
		}
		return c.countGlitch("PRIORITY")
	}
	return c.countGlitch("frames of unknown type") // to be ignored: RFC 9113, section 5.5
}

// glitch counts a frame that is legal but costs more than it says. It guards against floods of resets,
// pings, settings and empty frames, whatever their kind.
func (c *Conn) countGlitch(what string) error {
	now := time.Now()
	c.glitchTokens = min(c.glitchTokens+now.Sub(c.glitchTokensAt).Seconds()*c.cfg.GlitchRate, c.cfg.GlitchBurst)
	c.glitchTokensAt = now
	if c.glitchTokens--; c.glitchTokens < 0 {
		return connError(EnhanceYourCalm, "too many %s", what)
	}
	return nil
}

func (c *Conn) isPeerStream(id uint32) bool { return (id%2 == 1) != c.isClient }

// idle tells of a stream that neither end has opened yet. c.mu is held.
func (c *Conn) isIdle(id uint32) bool {
	if c.isPeerStream(id) {
		return id > c.lastPeerStreamID
	}
	return id >= c.nextStreamID
}

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
	// The connection's window bounds bursts only and is given back on receipt: were it held back until the
	// owner is done, a few streams with slow readers would stop all others.
	c.returnWindow(int64(h.length))
	s := c.streams[h.streamID]
	if s == nil || s.endReceived {
		idle, known := c.isIdle(h.streamID), c.resetStreams[h.streamID]
		switch {
		case idle:
			err = connError(ProtocolError, "DATA on idle stream %d", h.streamID)
		case s != nil || !known:
			c.queueRSTStream(h.streamID, StreamClosed)
		}
		if s != nil {
			s.remove()
		}
		c.mu.Unlock()
		if s != nil {
			s.receiver.Closed(s, &StreamError{Code: StreamClosed, Reason: "DATA behind the end of the stream"})
		}
		if err == nil && !known {
			err = c.countGlitch("frames on closed streams")
		}
		return err
	}
	if s.recvWindow -= int64(h.length); s.recvWindow < 0 {
		c.resetStream(s, FlowControlError, "peer sent beyond the stream's window")
		return nil
	}
	s.unconsumed += int64(len(body))
	s.returnWindow(int64(h.length - len(body)))
	s.endReceived = end
	done := s.removeIfFinished()
	c.mu.Unlock()
	if len(body) == 0 && !end {
		if err := c.countGlitch("empty DATA frames"); err != nil {
			return err
		}
	}
	s.receiver.Data(s, body, end)
	if done {
		s.receiver.Closed(s, nil)
	}
	return nil
}

func (c *Conn) handleHeaders(h frameHeader, payload []byte) error {
	if h.streamID == 0 {
		return connError(ProtocolError, "HEADERS on stream 0")
	}
	payload, err := stripPadding(h, payload)
	if err != nil {
		return err
	}
	if h.flags&flagPriority != 0 {
		if len(payload) < 5 {
			return connError(FrameSizeError, "HEADERS too short for its priority")
		}
		if binary.BigEndian.Uint32(payload)&maxWindowSize == h.streamID {
			return connError(ProtocolError, "stream %d depends on itself", h.streamID)
		}
		payload = payload[5:]
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
	if len(c.headerBlock)+len(payload) > c.cfg.MaxHeaderBlockSize { // the bound for floods of CONTINUATION
		return connError(EnhanceYourCalm, "header block over %d bytes", c.cfg.MaxHeaderBlockSize)
	}
	if len(payload) < 64 && h.flags&flagEndHeaders == 0 {
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

// onBlock takes a whole header block. It is decoded in any case: the two ends' tables must stay in step.
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
	s := c.streams[h.streamID]
	if s != nil {
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
	c.lastPeerStreamID = h.streamID
	bad := checkHeaders(fields, true)
	switch {
	case c.finalGoAwaySent || c.closeAfterFlush:
		c.mu.Unlock()
		return nil // behind the last stream of our GOAWAY: the peer knows that it never ran
	case c.numPeerStreams >= int(c.cfg.MaxConcurrentStreams):
		c.queueRSTStream(h.streamID, RefusedStream)
		c.mu.Unlock()
		return c.countGlitch("streams beyond the limit")
	case tooLarge || bad != "":
		code := ProtocolError
		if tooLarge {
			code = EnhanceYourCalm
		}
		c.queueRSTStream(h.streamID, code)
		c.mu.Unlock()
		return c.countGlitch("malformed requests")
	}
	s = &Stream{conn: c, id: h.streamID, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow),
		headersReceived: true, endReceived: end}
	c.mu.Unlock()
	s.receiver = c.handler.Open(s)
	c.mu.Lock()
	lost := c.closed
	if !lost {
		c.streams[s.id] = s
		c.numPeerStreams++
	}
	c.mu.Unlock()
	if !lost {
		s.receiver.Headers(s, fields, end)
	}
	return nil
}

// onMoreHeaders takes a response's headers, or trailers. c.mu is held and given back.
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
	s.informational = !trailers && len(fields[0].Value) == 3 && fields[0].Value[0] == '1'
	if s.informational { // 1xx: RFC 9113, section 8.1; the final headers follow
		c.mu.Unlock()
		return c.countGlitch("interim responses")
	}
	s.endReceived = end
	done := s.removeIfFinished()
	c.mu.Unlock()
	s.receiver.Headers(s, fields, end)
	if done {
		s.receiver.Closed(s, nil)
	}
	return nil
}

func (c *Conn) handleRSTStream(h frameHeader, payload []byte) error {
	if h.length != 4 {
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

func (c *Conn) handleSettings(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "SETTINGS on stream %d", h.streamID)
	}
	if h.flags&flagAck != 0 {
		if h.length != 0 {
			return connError(FrameSizeError, "SETTINGS acknowledgement with a payload")
		}
		return nil
	}
	if h.length%6 != 0 {
		return connError(FrameSizeError, "SETTINGS of %d bytes", h.length)
	}
	if c.settingsReceived {
		if err := c.countGlitch("SETTINGS frames"); err != nil {
			return err
		}
	}
	c.settingsReceived = true
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; len(payload) > 0; payload = payload[6:] {
		v := binary.BigEndian.Uint32(payload[2:])
		switch binary.BigEndian.Uint16(payload) {
		case settingHeaderTableSize:
			c.encoder.SetMaxTableSize(int(min(v, 1<<30)))
		case settingEnablePush:
			if v > 1 || v == 1 && c.isClient {
				return connError(ProtocolError, "SETTINGS_ENABLE_PUSH of %d", v)
			}
		case settingMaxConcurrentStreams:
			c.peerMaxStreams = v
		case settingInitialWindowSize:
			if v > maxWindowSize {
				return connError(FlowControlError, "SETTINGS_INITIAL_WINDOW_SIZE of %d", v)
			}
			// Windows of open streams move by the difference and may fall below 0 (section 6.9.2).
			change := int64(v) - c.peerInitialWindow
			c.peerInitialWindow = int64(v)
			for _, s := range c.streams {
				if s.sendWindow += change; s.sendWindow > maxWindowSize {
					return connError(FlowControlError, "window of stream %d overflows", s.id)
				}
			}
			c.scheduleFlush()
		case settingMaxFrameSize:
			if v < minMaxFrameSize || v > 1<<24-1 {
				return connError(ProtocolError, "SETTINGS_MAX_FRAME_SIZE of %d", v)
			}
			c.peerMaxFrameSize = int(min(v, 64<<10))
		}
	}
	return c.queueControl(appendFrameHeader(nil, frameHeader{typ: frameSettings, flags: flagAck}))
}

func (c *Conn) handlePing(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "PING on stream %d", h.streamID)
	}
	if h.length != 8 {
		return connError(FrameSizeError, "PING of %d bytes", h.length)
	}
	if h.flags&flagAck != 0 {
		c.mu.Lock()
		done := c.pendingPings[[8]byte(payload)]
		delete(c.pendingPings, [8]byte(payload))
		c.mu.Unlock()
		if done != nil {
			done()
		}
		return nil
	}
	if err := c.countGlitch("PING frames"); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queueControl(append(appendFrameHeader(nil, frameHeader{length: 8, typ: framePing, flags: flagAck}), payload...))
}

func (c *Conn) handleGoAway(h frameHeader, payload []byte) error {
	if h.streamID != 0 {
		return connError(ProtocolError, "GOAWAY on stream %d", h.streamID)
	}
	if h.length < 8 {
		return connError(FrameSizeError, "GOAWAY of %d bytes", h.length)
	}
	last, code := binary.BigEndian.Uint32(payload)&maxWindowSize, ErrCode(binary.BigEndian.Uint32(payload[4:]))
	c.mu.Lock()
	c.goAwayReceived = true
	var unprocessed []*Stream
	for id, s := range c.streams {
		if !c.isPeerStream(id) && id > last {
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

func (c *Conn) handleWindowUpdate(h frameHeader, payload []byte) error {
	if h.length != 4 {
		return connError(FrameSizeError, "WINDOW_UPDATE of %d bytes", h.length)
	}
	n := int64(binary.BigEndian.Uint32(payload) & maxWindowSize)
	c.mu.Lock()
	if h.streamID == 0 {
		c.sendWindow += n
		over := c.sendWindow > maxWindowSize
		c.scheduleFlush()
		c.mu.Unlock()
		switch {
		case n == 0:
			return connError(ProtocolError, "WINDOW_UPDATE of 0")
		case over:
			return connError(FlowControlError, "the connection's window overflows")
		}
		if n < 64 {
			return c.countGlitch("small WINDOW_UPDATE frames")
		}
		return nil
	}
	s, idle := c.streams[h.streamID], c.isIdle(h.streamID)
	if idle {
		c.mu.Unlock()
		return connError(ProtocolError, "WINDOW_UPDATE on idle stream %d", h.streamID)
	}
	if s == nil {
		c.mu.Unlock()
		return nil
	}
	s.sendWindow += n
	if n == 0 || s.sendWindow > maxWindowSize {
		code, reason := ProtocolError, "WINDOW_UPDATE of 0"
		if n != 0 {
			code, reason = FlowControlError, "the stream's window overflows"
		}
		c.resetStream(s, code, reason)
		return nil
	}
	c.scheduleFlush()
	c.mu.Unlock()
	if n < 64 {
		return c.countGlitch("small WINDOW_UPDATE frames")
	}
	return nil
}

// Writing ---------------------------------------------------------------------------------------------

// putControl queues a frame that answers the peer. It guards against a peer that asks and never reads.
// c.mu is held.
func (c *Conn) queueControl(frame []byte) error {
	if c.queuedControl += len(frame); c.queuedControl > c.cfg.MaxControlBytes {
		return connError(EnhanceYourCalm, "%d bytes of answers wait for a peer that does not read", c.queuedControl)
	}
	c.writeBuffer = append(c.writeBuffer, frame...)
	c.scheduleFlush()
	return nil
}

// putReset queues RST_STREAM and remembers the stream for a while. c.mu is held.
func (c *Conn) queueRSTStream(id uint32, code ErrCode) {
	c.writeBuffer = appendFrameHeader(c.writeBuffer, frameHeader{length: 4, typ: frameRSTStream, streamID: id})
	c.writeBuffer = appendUint32(c.writeBuffer, uint32(code))
	if !c.resetStreams[id] {
		c.resetStreams[id] = true
		if c.resetOrder = append(c.resetOrder, id); len(c.resetOrder) > 512 {
			for _, old := range c.resetOrder[:256] {
				delete(c.resetStreams, old)
			}
			c.resetOrder = append(c.resetOrder[:0], c.resetOrder[256:]...)
		}
	}
	c.scheduleFlush()
}

// breakOff ends a stream on which the peer broke the protocol. c.mu is held and given back.
func (c *Conn) resetStream(s *Stream, code ErrCode, reason string) {
	c.queueRSTStream(s.id, code)
	s.remove()
	c.mu.Unlock()
	s.receiver.Closed(s, &StreamError{Code: code, Reason: reason})
}

// grant returns consumed bytes to the peer's window of the connection, a half window at a time. c.mu is held.
func (c *Conn) returnWindow(n int64) {
	if c.recvCredit += n; c.recvCredit >= int64(c.cfg.ConnWindow)/2 {
		c.writeBuffer = appendFrameHeader(c.writeBuffer, frameHeader{length: 4, typ: frameWindowUpdate})
		c.writeBuffer = appendUint32(c.writeBuffer, uint32(c.recvCredit))
		c.recvWindow += c.recvCredit
		c.recvCredit = 0
		c.scheduleFlush()
	}
}

// kick has what is queued written soon. c.mu is held.
func (c *Conn) scheduleFlush() {
	if c.flushing || c.flushDeferred || c.closed || len(c.writeBuffer) == 0 && len(c.sendQueue) == 0 && !c.closeAfterFlush {
		return
	}
	c.flushing = true
	go c.flush()
}

// sent tells a stream's owner how much of what it wrote has left its queue.
type sendEvent struct {
	stream   *Stream
	n        int
	finished bool
}

// flush writes until nothing is left. One goroutine at a time runs it; it may block on the socket, so none
// that decides or reads does.
func (c *Conn) flush() {
	defer c.recoverPanic()
	var events []sendEvent
	for {
		c.mu.Lock()
		events = c.fillWriteBuffer(events[:0])
		if len(c.writeBuffer) == 0 || c.closed {
			c.flushing = false
			closing := c.closeAfterFlush && !c.closed
			c.mu.Unlock()
			notifySent(events)
			if closing {
				c.terminate(c.err)
				_ = c.netConn.Close()
			}
			return
		}
		buf := c.writeBuffer
		c.writeBuffer, c.queuedControl = c.spareBuffer[:0], 0
		c.mu.Unlock()
		notifySent(events)
		w := c.netConn.Writer()
		_, err := w.WriteBinary(buf)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			c.terminate(err)
			_ = c.netConn.Close()
			return
		}
		if cap(buf) > 2*c.cfg.SendBufferSize {
			buf = nil
		}
		c.mu.Lock()
		c.spareBuffer = buf
		c.mu.Unlock()
	}
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

// pump moves what streams have waiting into the buffer, a frame of each in turn, as the windows and the
// buffer allow. c.mu is held.
func (c *Conn) fillWriteBuffer(events []sendEvent) []sendEvent {
	for stuck := 0; stuck < len(c.sendQueue) && len(c.writeBuffer) < c.cfg.SendBufferSize; {
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
			stuck++
		} else {
			stuck = 0
		}
		if done := s.removeIfFinished(); n > 0 || done {
			events = append(events, sendEvent{s, n, done})
		}
	}
	return events
}

// Ending ----------------------------------------------------------------------------------------------

// fail ends the connection by an error of our own, or of reading.
func (c *Conn) fail(err error) {
	var ce *ConnError
	if !errors.As(err, &ce) {
		c.terminate(err)
		_ = c.netConn.Close()
		return
	}
	c.mu.Lock()
	if c.closed || c.closeAfterFlush {
		c.mu.Unlock()
		return
	}
	c.writeBuffer = appendGoAway(c.writeBuffer, c.lastPeerStreamID, ce.Code, ce.Reason)
	c.closeAfterFlush, c.err = true, err
	c.scheduleFlush()
	c.mu.Unlock()
}

func appendGoAway(dst []byte, lastStreamID uint32, code ErrCode, reason string) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: 8 + len(reason), typ: frameGoAway})
	dst = appendUint32(dst, lastStreamID)
	dst = appendUint32(dst, uint32(code))
	return append(dst, reason...)
}

// lost closes all streams; it is the one end of every connection.
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
	reason := "connection lost"
	if c.err != nil {
		reason = c.err.Error()
	}
	streams := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		s.remove()
		streams = append(streams, s)
	}
	c.writeBuffer, c.sendQueue = nil, nil
	err = c.err
	c.mu.Unlock()
	for _, s := range streams {
		s.receiver.Closed(s, &StreamError{Code: InternalError, Reason: reason, ConnLost: true})
	}
	c.handler.ConnClosed(c, err)
}

// Close ends the connection at once; streams on it are lost.
func (c *Conn) Close() {
	c.terminate(errors.New("closed by this end"))
	_ = c.netConn.Close()
}

// Shutdown takes no further streams and closes when those open have ended. The peer is first warned without
// a last stream, so that what it has sent meanwhile is still served (RFC 9113, section 6.8).
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
	c.writeBuffer = appendGoAway(c.writeBuffer, maxWindowSize, NoError, "draining")
	mark := [8]byte{'d', 'r', 'a', 'i', 'n'}
	c.pendingPings[mark] = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed || c.closeAfterFlush {
			return
		}
		c.finalGoAwaySent = true
		c.writeBuffer = appendGoAway(c.writeBuffer, c.lastPeerStreamID, NoError, "draining")
		c.closeIfDrained()
		c.scheduleFlush()
	}
	c.writeBuffer = append(appendFrameHeader(c.writeBuffer, frameHeader{length: 8, typ: framePing}), mark[:]...)
	c.scheduleFlush()
}

// closeIfDone closes a draining connection without streams. c.mu is held.
func (c *Conn) closeIfDrained() {
	drained := c.isClient && (c.draining || c.goAwayReceived) || c.finalGoAwaySent
	if drained && len(c.streams) == 0 && !c.closeAfterFlush {
		c.closeAfterFlush = true
		c.scheduleFlush()
	}
}

// Ping calls done when the peer has answered. It tells a live peer from a hung one.
func (c *Conn) Ping(id uint64, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var mark [8]byte
	binary.BigEndian.PutUint64(mark[:], id)
	c.pendingPings[mark] = done
	c.writeBuffer = append(appendFrameHeader(c.writeBuffer, frameHeader{length: 8, typ: framePing}), mark[:]...)
	c.scheduleFlush()
}
