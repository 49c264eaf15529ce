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
	MaxStreams     uint32        // streams that the peer may have open at once
	StreamWindow   uint32        // bytes that the peer may send ahead on a stream,
	ConnWindow     uint32        // and on all streams together
	MaxFrame       uint32        // largest frame payload taken
	MaxHeaderList  int           // largest header list taken, counted as hpack.Field.Size does
	MaxHeaderBlock int           // largest coded header block taken, over all its frames
	SendBuffer     int           // bytes of DATA that may wait for the socket; more waits in its stream
	MaxControl     int           // bytes of other frames that may wait for a peer that does not read
	Glitches       float64       // odd but legal frames in a burst (resets, pings, settings, empty frames),
	GlitchRate     float64       // and a second, before the connection is ended
	StallAfter     time.Duration // a frame that began must be whole by then
	WriteTimeout   time.Duration // the socket must take what is written by then
}

// Defaults are the bounds in service.
var Defaults = Config{
	MaxStreams:     1000,
	StreamWindow:   256 << 10,
	ConnWindow:     4 << 20,
	MaxFrame:       minFrame,
	MaxHeaderList:  16 << 10,
	MaxHeaderBlock: 32 << 10,
	SendBuffer:     256 << 10,
	MaxControl:     1 << 20,
	Glitches:       2000,
	GlitchRate:     500,
	StallAfter:     20 * time.Second,
	WriteTimeout:   30 * time.Second,
}

func (c Config) filled() Config {
	set := func(v, d uint32) uint32 {
		if v == 0 {
			return d
		}
		return v
	}
	c.MaxStreams = set(c.MaxStreams, Defaults.MaxStreams)
	c.StreamWindow = min(set(c.StreamWindow, Defaults.StreamWindow), maxWindow)
	c.ConnWindow = min(max(set(c.ConnWindow, Defaults.ConnWindow), initialWindow), maxWindow)
	c.MaxFrame = max(set(c.MaxFrame, Defaults.MaxFrame), minFrame)
	if c.MaxHeaderList == 0 {
		c.MaxHeaderList = Defaults.MaxHeaderList
	}
	if c.MaxHeaderBlock == 0 {
		c.MaxHeaderBlock = Defaults.MaxHeaderBlock
	}
	if c.SendBuffer == 0 {
		c.SendBuffer = Defaults.SendBuffer
	}
	if c.MaxControl == 0 {
		c.MaxControl = Defaults.MaxControl
	}
	if c.Glitches == 0 {
		c.Glitches, c.GlitchRate = Defaults.Glitches, Defaults.GlitchRate
	}
	if c.StallAfter == 0 {
		c.StallAfter = Defaults.StallAfter
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = Defaults.WriteTimeout
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
	Lost(c *Conn, err error)
}

// Conn is one end of a connection.
type Conn struct {
	cfg     Config
	nc      netpoll.Connection
	handler Handler
	client  bool

	// Of the reading goroutine.
	dec        *hpack.Decoder
	fields     []hpack.Field
	block      []byte // a header block that CONTINUATION frames add to
	blockOf    header // the HEADERS frame that began it
	continuing bool
	begun      bool // the preface has come
	settled    bool // the peer's first SETTINGS have come
	glitches   float64
	glitchAt   time.Time

	mu         sync.Mutex
	enc        *hpack.Encoder
	out, spare []byte // waiting for the socket; the buffer written last
	control    int    // bytes of frames other than DATA and HEADERS in out
	flushing   bool
	holding    bool // the reading goroutine will flush when it is done
	closing    bool // close once out is written
	dead       bool
	streams    map[uint32]*Stream
	reset      map[uint32]bool // streams that this end reset lately: what is in flight on them is ignored
	resetOrder []uint32
	nextID     uint32
	lastPeer   uint32 // highest stream that the peer opened
	opened     int    // streams of the peer's that are open
	mine       int    // streams of this end's that are open
	waiting    []*Stream
	sendWindow int64
	recvWindow int64 // what the peer may still send,
	credit     int64 // and what was consumed but not yet granted again
	peerWindow int64
	peerFrame  int
	peerMax    uint32 // streams that the peer lets this end have open
	away       bool   // the peer sent GOAWAY
	draining   bool   // this end sent GOAWAY
	drainMark  bool   // and the peer has seen it: streams beyond the last one are refused
	pinged     map[[8]byte]func()
	err        error
}

func newConn(nc netpoll.Connection, cfg Config, h Handler, client bool) *Conn {
	cfg = cfg.filled()
	c := &Conn{cfg: cfg, nc: nc, handler: h, client: client,
		dec: hpack.NewDecoder(hpack.DefaultTable, cfg.MaxHeaderList), enc: hpack.NewEncoder(),
		glitches: cfg.Glitches, glitchAt: time.Now(),
		streams: map[uint32]*Stream{}, reset: map[uint32]bool{}, nextID: 2,
		sendWindow: initialWindow, recvWindow: int64(cfg.ConnWindow), peerWindow: initialWindow,
		peerFrame: minFrame, peerMax: defaultStreams, begun: client, pinged: map[[8]byte]func(){}}
	if client {
		c.nextID = 1
	}
	c.greet()
	_ = nc.SetReadTimeout(cfg.StallAfter)
	_ = nc.SetWriteTimeout(cfg.WriteTimeout)
	return c
}

// greet queues what each end says first (RFC 9113, section 3.4). It is there from the beginning: an answer to
// the peer's first frames, or a drain, must not get before it.
func (c *Conn) greet() {
	if c.client {
		c.out = append(c.out, preface...)
	}
	list := []setting{{settingWindow, c.cfg.StreamWindow}, {settingStreams, c.cfg.MaxStreams},
		{settingFrame, c.cfg.MaxFrame}, {settingListSize, uint32(c.cfg.MaxHeaderList)}}
	if c.client {
		list = append(list, setting{settingPush, 0})
	}
	c.out = appendSettings(c.out, list)
	if more := c.cfg.ConnWindow - initialWindow; more > 0 {
		c.out = appendHeader(c.out, header{length: 4, typ: frameWindow})
		c.out = appendUint32(c.out, more)
	}
}

// start has the greeting sent.
func (c *Conn) start() {
	c.mu.Lock()
	c.kick()
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
	if err := nc.SetOnRequest(func(context.Context, netpoll.Connection) error { return c.read() }); err != nil {
		_ = nc.Close()
		return nil, err
	}
	_ = nc.AddCloseCallback(func(netpoll.Connection) error {
		c.lost(errors.New("connection closed by peer"))
		return nil
	})
	if !nc.IsActive() {
		return nil, errors.New("connection closed at once")
	}
	c.start()
	return c, nil
}

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Reading ---------------------------------------------------------------------------------------------

// read handles the frames that have come. netpoll calls it on one goroutine at a time, with bytes waiting;
// a frame that is not whole is waited for, up to StallAfter.
func (c *Conn) read() error {
	defer c.recovered()
	c.hold(true)
	r := c.nc.Reader()
	var err error
	for n := 1; err == nil && r.Len() > 0; n++ {
		if c.ending() { // what comes behind our GOAWAY is not looked at any more
			_ = r.Skip(r.Len())
		} else {
			err = c.readFrame(r)
		}
		_ = r.Release()
		if n%64 == 0 { // a peer that never stops sending must not keep its answers back
			c.hold(false)
			c.hold(true)
		}
	}
	c.hold(false)
	if err != nil {
		c.fail(err)
	}
	return nil
}

// ending tells that the connection has failed and only its GOAWAY is still to be written.
func (c *Conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.err != nil
}

// recovered ends the connection whose handling panicked, so that its streams are told; others go on.
func (c *Conn) recovered() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic while a connection was handled", "peer", c.nc.RemoteAddr(), "panic", p, "stack", string(debug.Stack()))
	if c.mu.TryLock() { // not held: callbacks are made without it
		c.holding = false
		c.mu.Unlock()
		c.lost(fmt.Errorf("http2: panic: %v", p))
	}
	_ = c.nc.Close()
}

func (c *Conn) readFrame(r netpoll.Reader) error {
	if !c.begun {
		b, err := c.next(r, len(preface))
		if err != nil {
			return err
		}
		if string(b) != preface {
			return connError(ProtocolError, "no HTTP/2 preface")
		}
		c.begun = true
		if r.Len() == 0 {
			return nil
		}
	}
	b, err := c.next(r, headerLen)
	if err != nil {
		return err
	}
	h := parseHeader(b)
	if h.length > int(c.cfg.MaxFrame) {
		return connError(FrameSizeError, "frame of %d bytes, at most %d taken", h.length, c.cfg.MaxFrame)
	}
	var p []byte
	if h.length > 0 {
		if p, err = c.next(r, h.length); err != nil {
			return err
		}
	}
	return c.handle(h, p)
}

// next returns n bytes, good until the reader's Release. While it waits for a peer in the middle of a frame,
// what other goroutines write is not held back.
func (c *Conn) next(r netpoll.Reader, n int) ([]byte, error) {
	if r.Len() >= n {
		return r.Next(n)
	}
	c.hold(false)
	defer c.hold(true)
	return r.Next(n)
}

// hold collects what is written while frames are read, to be flushed at once.
func (c *Conn) hold(on bool) {
	c.mu.Lock()
	c.holding = on
	c.kick()
	c.mu.Unlock()
}

// handle acts on one frame. It is the parser's whole entry, so that a fuzzer can drive it.
func (c *Conn) handle(h header, p []byte) error {
	if !c.settled && (h.typ != frameSettings || h.flags&flagAck != 0) {
		return connError(ProtocolError, "first frame is not SETTINGS")
	}
	if c.continuing && (h.typ != frameContinuation || h.stream != c.blockOf.stream) {
		return connError(ProtocolError, "a header block is interrupted")
	}
	switch h.typ {
	case frameData:
		return c.onData(h, p)
	case frameHeaders:
		return c.onHeaders(h, p)
	case frameContinuation:
		return c.onContinuation(h, p)
	case frameReset:
		return c.onReset(h, p)
	case frameSettings:
		return c.onSettings(h, p)
	case framePing:
		return c.onPing(h, p)
	case frameGoAway:
		return c.onGoAway(h, p)
	case frameWindow:
		return c.onWindow(h, p)
	case framePush:
		return connError(ProtocolError, "PUSH_PROMISE, which is switched off")
	case framePriority:
		if h.stream == 0 || h.length != 5 {
			return connError(ProtocolError, "malformed PRIORITY")
		}
		return c.glitch("PRIORITY")
	}
	return c.glitch("frames of unknown type") // to be ignored: RFC 9113, section 5.5
}

// glitch counts a frame that is legal but costs more than it says. It guards against floods of resets,
// pings, settings and empty frames, whatever their kind.
func (c *Conn) glitch(what string) error {
	now := time.Now()
	c.glitches = min(c.glitches+now.Sub(c.glitchAt).Seconds()*c.cfg.GlitchRate, c.cfg.Glitches)
	c.glitchAt = now
	if c.glitches--; c.glitches < 0 {
		return connError(EnhanceYourCalm, "too many %s", what)
	}
	return nil
}

func (c *Conn) isPeers(id uint32) bool { return (id%2 == 1) != c.client }

// idle tells of a stream that neither end has opened yet. c.mu is held.
func (c *Conn) idle(id uint32) bool {
	if c.isPeers(id) {
		return id > c.lastPeer
	}
	return id >= c.nextID
}

func (c *Conn) onData(h header, p []byte) error {
	if h.stream == 0 {
		return connError(ProtocolError, "DATA on stream 0")
	}
	body, err := unpad(h, p)
	if err != nil {
		return err
	}
	end := h.flags&flagEnd != 0
	c.mu.Lock()
	if c.recvWindow -= int64(h.length); c.recvWindow < 0 {
		c.mu.Unlock()
		return connError(FlowControlError, "peer sent beyond the connection's window")
	}
	// The connection's window bounds bursts only and is given back on receipt: were it held back until the
	// owner is done, a few streams with slow readers would stop all others.
	c.grant(int64(h.length))
	s := c.streams[h.stream]
	if s == nil || s.gotEnd {
		idle, known := c.idle(h.stream), c.reset[h.stream]
		switch {
		case idle:
			err = connError(ProtocolError, "DATA on idle stream %d", h.stream)
		case s != nil || !known:
			c.putReset(h.stream, StreamClosed)
		}
		if s != nil {
			s.drop()
		}
		c.mu.Unlock()
		if s != nil {
			s.recv.Closed(s, &StreamError{Code: StreamClosed, Reason: "DATA behind the end of the stream"})
		}
		if err == nil && !known {
			err = c.glitch("frames on closed streams")
		}
		return err
	}
	if s.recvWindow -= int64(h.length); s.recvWindow < 0 {
		c.breakOff(s, FlowControlError, "peer sent beyond the stream's window")
		return nil
	}
	s.unconsumed += int64(len(body))
	s.grant(int64(h.length - len(body)))
	s.gotEnd = end
	done := s.finished()
	c.mu.Unlock()
	if len(body) == 0 && !end {
		if err := c.glitch("empty DATA frames"); err != nil {
			return err
		}
	}
	s.recv.Data(s, body, end)
	if done {
		s.recv.Closed(s, nil)
	}
	return nil
}

func (c *Conn) onHeaders(h header, p []byte) error {
	if h.stream == 0 {
		return connError(ProtocolError, "HEADERS on stream 0")
	}
	p, err := unpad(h, p)
	if err != nil {
		return err
	}
	if h.flags&flagPriority != 0 {
		if len(p) < 5 {
			return connError(FrameSizeError, "HEADERS too short for its priority")
		}
		if binary.BigEndian.Uint32(p)&maxWindow == h.stream {
			return connError(ProtocolError, "stream %d depends on itself", h.stream)
		}
		p = p[5:]
	}
	c.blockOf = h
	if h.flags&flagEndHeaders != 0 {
		return c.onBlock(h, p)
	}
	if len(p) > c.cfg.MaxHeaderBlock {
		return connError(EnhanceYourCalm, "header block over %d bytes", c.cfg.MaxHeaderBlock)
	}
	c.block = append(c.block[:0], p...)
	c.continuing = true
	return nil
}

func (c *Conn) onContinuation(h header, p []byte) error {
	if !c.continuing {
		return connError(ProtocolError, "CONTINUATION without HEADERS")
	}
	if len(c.block)+len(p) > c.cfg.MaxHeaderBlock { // the bound for floods of CONTINUATION
		return connError(EnhanceYourCalm, "header block over %d bytes", c.cfg.MaxHeaderBlock)
	}
	if len(p) < 64 && h.flags&flagEndHeaders == 0 {
		if err := c.glitch("short CONTINUATION frames"); err != nil {
			return err
		}
	}
	c.block = append(c.block, p...)
	if h.flags&flagEndHeaders == 0 {
		return nil
	}
	c.continuing = false
	return c.onBlock(c.blockOf, c.block)
}

// onBlock takes a whole header block. It is decoded in any case: the two ends' tables must stay in step.
func (c *Conn) onBlock(h header, block []byte) error {
	fields, err := c.dec.Decode(c.fields[:0], block)
	c.fields = fields
	tooLarge := errors.Is(err, hpack.ErrTooLarge)
	if err != nil && !tooLarge {
		return connError(CompressionError, "%v", err)
	}
	defer clear(c.fields)
	end := h.flags&flagEnd != 0
	c.mu.Lock()
	s := c.streams[h.stream]
	if s != nil {
		return c.onMoreHeaders(s, fields, end, tooLarge)
	}
	switch {
	case c.reset[h.stream]:
		c.mu.Unlock()
		return nil
	case !c.isPeers(h.stream) || c.client:
		idle := c.idle(h.stream)
		c.mu.Unlock()
		if idle {
			return connError(ProtocolError, "HEADERS on idle stream %d", h.stream)
		}
		return c.glitch("frames on closed streams")
	case h.stream <= c.lastPeer:
		c.mu.Unlock()
		return connError(StreamClosed, "HEADERS on stream %d, which is closed", h.stream)
	}
	c.lastPeer = h.stream
	bad := malformed(fields, true)
	switch {
	case c.drainMark || c.closing:
		c.mu.Unlock()
		return nil // behind the last stream of our GOAWAY: the peer knows that it never ran
	case c.opened >= int(c.cfg.MaxStreams):
		c.putReset(h.stream, RefusedStream)
		c.mu.Unlock()
		return c.glitch("streams beyond the limit")
	case tooLarge || bad != "":
		code := ProtocolError
		if tooLarge {
			code = EnhanceYourCalm
		}
		c.putReset(h.stream, code)
		c.mu.Unlock()
		return c.glitch("malformed requests")
	}
	s = &Stream{c: c, id: h.stream, sendWindow: c.peerWindow, recvWindow: int64(c.cfg.StreamWindow),
		gotHeaders: true, gotEnd: end}
	c.mu.Unlock()
	s.recv = c.handler.Open(s)
	c.mu.Lock()
	lost := c.dead
	if !lost {
		c.streams[s.id] = s
		c.opened++
	}
	c.mu.Unlock()
	if !lost {
		s.recv.Headers(s, fields, end)
	}
	return nil
}

// onMoreHeaders takes a response's headers, or trailers. c.mu is held and given back.
func (c *Conn) onMoreHeaders(s *Stream, fields []hpack.Field, end, tooLarge bool) error {
	trailers := s.gotHeaders && !s.interim
	reason := ""
	switch {
	case s.gotEnd:
		reason = "HEADERS behind the end of the stream"
	case tooLarge:
		reason = hpack.ErrTooLarge.Error()
	case trailers && !end:
		reason = "trailers that do not end the stream"
	case trailers:
		reason = malformedTrailers(fields)
	default:
		reason = malformed(fields, false)
	}
	if reason != "" {
		c.breakOff(s, ProtocolError, reason)
		return nil
	}
	s.gotHeaders = true
	s.interim = !trailers && len(fields[0].Value) == 3 && fields[0].Value[0] == '1'
	if s.interim { // 1xx: RFC 9113, section 8.1; the final headers follow
		c.mu.Unlock()
		return c.glitch("interim responses")
	}
	s.gotEnd = end
	done := s.finished()
	c.mu.Unlock()
	s.recv.Headers(s, fields, end)
	if done {
		s.recv.Closed(s, nil)
	}
	return nil
}

func (c *Conn) onReset(h header, p []byte) error {
	if h.length != 4 {
		return connError(FrameSizeError, "RST_STREAM of %d bytes", h.length)
	}
	code := ErrCode(binary.BigEndian.Uint32(p))
	c.mu.Lock()
	if h.stream == 0 || c.idle(h.stream) {
		c.mu.Unlock()
		return connError(ProtocolError, "RST_STREAM on idle stream %d", h.stream)
	}
	s := c.streams[h.stream]
	if s != nil {
		s.drop()
	}
	c.mu.Unlock()
	if s != nil {
		s.recv.Closed(s, &StreamError{Code: code, Reason: "RST_STREAM", Remote: true,
			NeverRan: c.client && code == RefusedStream})
	}
	if c.client {
		return nil
	}
	return c.glitch("resets")
}

func (c *Conn) onSettings(h header, p []byte) error {
	if h.stream != 0 {
		return connError(ProtocolError, "SETTINGS on stream %d", h.stream)
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
	if c.settled {
		if err := c.glitch("SETTINGS frames"); err != nil {
			return err
		}
	}
	c.settled = true
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; len(p) > 0; p = p[6:] {
		v := binary.BigEndian.Uint32(p[2:])
		switch binary.BigEndian.Uint16(p) {
		case settingTable:
			c.enc.SetTable(int(min(v, 1<<30)))
		case settingPush:
			if v > 1 || v == 1 && c.client {
				return connError(ProtocolError, "SETTINGS_ENABLE_PUSH of %d", v)
			}
		case settingStreams:
			c.peerMax = v
		case settingWindow:
			if v > maxWindow {
				return connError(FlowControlError, "SETTINGS_INITIAL_WINDOW_SIZE of %d", v)
			}
			// Windows of open streams move by the difference and may fall below 0 (section 6.9.2).
			change := int64(v) - c.peerWindow
			c.peerWindow = int64(v)
			for _, s := range c.streams {
				if s.sendWindow += change; s.sendWindow > maxWindow {
					return connError(FlowControlError, "window of stream %d overflows", s.id)
				}
			}
			c.kick()
		case settingFrame:
			if v < minFrame || v > 1<<24-1 {
				return connError(ProtocolError, "SETTINGS_MAX_FRAME_SIZE of %d", v)
			}
			c.peerFrame = int(min(v, 64<<10))
		}
	}
	return c.putControl(appendHeader(nil, header{typ: frameSettings, flags: flagAck}))
}

func (c *Conn) onPing(h header, p []byte) error {
	if h.stream != 0 {
		return connError(ProtocolError, "PING on stream %d", h.stream)
	}
	if h.length != 8 {
		return connError(FrameSizeError, "PING of %d bytes", h.length)
	}
	if h.flags&flagAck != 0 {
		c.mu.Lock()
		done := c.pinged[[8]byte(p)]
		delete(c.pinged, [8]byte(p))
		c.mu.Unlock()
		if done != nil {
			done()
		}
		return nil
	}
	if err := c.glitch("PING frames"); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.putControl(append(appendHeader(nil, header{length: 8, typ: framePing, flags: flagAck}), p...))
}

func (c *Conn) onGoAway(h header, p []byte) error {
	if h.stream != 0 {
		return connError(ProtocolError, "GOAWAY on stream %d", h.stream)
	}
	if h.length < 8 {
		return connError(FrameSizeError, "GOAWAY of %d bytes", h.length)
	}
	last, code := binary.BigEndian.Uint32(p)&maxWindow, ErrCode(binary.BigEndian.Uint32(p[4:]))
	c.mu.Lock()
	c.away = true
	var never []*Stream
	for id, s := range c.streams {
		if !c.isPeers(id) && id > last {
			s.drop()
			never = append(never, s)
		}
	}
	c.mu.Unlock()
	c.handler.GoAway(c, code)
	for _, s := range never {
		s.recv.Closed(s, &StreamError{Code: code, Reason: "beyond the last stream of GOAWAY", Remote: true,
			NeverRan: true})
	}
	c.mu.Lock()
	c.closeIfDone()
	c.mu.Unlock()
	return c.glitch("GOAWAY frames")
}

func (c *Conn) onWindow(h header, p []byte) error {
	if h.length != 4 {
		return connError(FrameSizeError, "WINDOW_UPDATE of %d bytes", h.length)
	}
	n := int64(binary.BigEndian.Uint32(p) & maxWindow)
	c.mu.Lock()
	if h.stream == 0 {
		c.sendWindow += n
		over := c.sendWindow > maxWindow
		c.kick()
		c.mu.Unlock()
		switch {
		case n == 0:
			return connError(ProtocolError, "WINDOW_UPDATE of 0")
		case over:
			return connError(FlowControlError, "the connection's window overflows")
		}
		if n < 64 {
			return c.glitch("small WINDOW_UPDATE frames")
		}
		return nil
	}
	s, idle := c.streams[h.stream], c.idle(h.stream)
	if idle {
		c.mu.Unlock()
		return connError(ProtocolError, "WINDOW_UPDATE on idle stream %d", h.stream)
	}
	if s == nil {
		c.mu.Unlock()
		return nil
	}
	s.sendWindow += n
	if n == 0 || s.sendWindow > maxWindow {
		code, reason := ProtocolError, "WINDOW_UPDATE of 0"
		if n != 0 {
			code, reason = FlowControlError, "the stream's window overflows"
		}
		c.breakOff(s, code, reason)
		return nil
	}
	c.kick()
	c.mu.Unlock()
	if n < 64 {
		return c.glitch("small WINDOW_UPDATE frames")
	}
	return nil
}

// Writing ---------------------------------------------------------------------------------------------

// putControl queues a frame that answers the peer. It guards against a peer that asks and never reads.
// c.mu is held.
func (c *Conn) putControl(frame []byte) error {
	if c.control += len(frame); c.control > c.cfg.MaxControl {
		return connError(EnhanceYourCalm, "%d bytes of answers wait for a peer that does not read", c.control)
	}
	c.out = append(c.out, frame...)
	c.kick()
	return nil
}

// putReset queues RST_STREAM and remembers the stream for a while. c.mu is held.
func (c *Conn) putReset(id uint32, code ErrCode) {
	c.out = appendHeader(c.out, header{length: 4, typ: frameReset, stream: id})
	c.out = appendUint32(c.out, uint32(code))
	if !c.reset[id] {
		c.reset[id] = true
		if c.resetOrder = append(c.resetOrder, id); len(c.resetOrder) > 512 {
			for _, old := range c.resetOrder[:256] {
				delete(c.reset, old)
			}
			c.resetOrder = append(c.resetOrder[:0], c.resetOrder[256:]...)
		}
	}
	c.kick()
}

// breakOff ends a stream on which the peer broke the protocol. c.mu is held and given back.
func (c *Conn) breakOff(s *Stream, code ErrCode, reason string) {
	c.putReset(s.id, code)
	s.drop()
	c.mu.Unlock()
	s.recv.Closed(s, &StreamError{Code: code, Reason: reason})
}

// grant returns consumed bytes to the peer's window of the connection, a half window at a time. c.mu is held.
func (c *Conn) grant(n int64) {
	if c.credit += n; c.credit >= int64(c.cfg.ConnWindow)/2 {
		c.out = appendHeader(c.out, header{length: 4, typ: frameWindow})
		c.out = appendUint32(c.out, uint32(c.credit))
		c.recvWindow += c.credit
		c.credit = 0
		c.kick()
	}
}

// kick has what is queued written soon. c.mu is held.
func (c *Conn) kick() {
	if c.flushing || c.holding || c.dead || len(c.out) == 0 && len(c.waiting) == 0 && !c.closing {
		return
	}
	c.flushing = true
	go c.flush()
}

// sent tells a stream's owner how much of what it wrote has left its queue.
type sent struct {
	s    *Stream
	n    int
	done bool
}

// flush writes until nothing is left. One goroutine at a time runs it; it may block on the socket, so none
// that decides or reads does.
func (c *Conn) flush() {
	defer c.recovered()
	var told []sent
	for {
		c.mu.Lock()
		told = c.pump(told[:0])
		if len(c.out) == 0 || c.dead {
			c.flushing = false
			closing := c.closing && !c.dead
			c.mu.Unlock()
			tell(told)
			if closing {
				c.lost(c.err)
				_ = c.nc.Close()
			}
			return
		}
		buf := c.out
		c.out, c.control = c.spare[:0], 0
		c.mu.Unlock()
		tell(told)
		w := c.nc.Writer()
		_, err := w.WriteBinary(buf)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			c.lost(err)
			_ = c.nc.Close()
			return
		}
		if cap(buf) > 2*c.cfg.SendBuffer {
			buf = nil
		}
		c.mu.Lock()
		c.spare = buf
		c.mu.Unlock()
	}
}

func tell(list []sent) {
	for _, t := range list {
		if t.n > 0 {
			t.s.recv.Sent(t.s, t.n)
		}
		if t.done {
			t.s.recv.Closed(t.s, nil)
		}
	}
}

// pump moves what streams have waiting into the buffer, a frame of each in turn, as the windows and the
// buffer allow. c.mu is held.
func (c *Conn) pump(told []sent) []sent {
	for stuck := 0; stuck < len(c.waiting) && len(c.out) < c.cfg.SendBuffer; {
		s := c.waiting[0]
		copy(c.waiting, c.waiting[1:])
		c.waiting = c.waiting[:len(c.waiting)-1]
		if s.closed {
			s.queued = false
			continue
		}
		n := s.emit(c.peerFrame)
		if s.queued = !s.drained(); s.queued {
			c.waiting = append(c.waiting, s)
		}
		if n == 0 && s.queued {
			stuck++
		} else {
			stuck = 0
		}
		if done := s.finished(); n > 0 || done {
			told = append(told, sent{s, n, done})
		}
	}
	return told
}

// Ending ----------------------------------------------------------------------------------------------

// fail ends the connection by an error of our own, or of reading.
func (c *Conn) fail(err error) {
	var ce *ConnError
	if !errors.As(err, &ce) {
		c.lost(err)
		_ = c.nc.Close()
		return
	}
	c.mu.Lock()
	if c.dead || c.closing {
		c.mu.Unlock()
		return
	}
	c.out = goAway(c.out, c.lastPeer, ce.Code, ce.Reason)
	c.closing, c.err = true, err
	c.kick()
	c.mu.Unlock()
}

func goAway(dst []byte, last uint32, code ErrCode, reason string) []byte {
	dst = appendHeader(dst, header{length: 8 + len(reason), typ: frameGoAway})
	dst = appendUint32(dst, last)
	dst = appendUint32(dst, uint32(code))
	return append(dst, reason...)
}

// lost closes all streams; it is the one end of every connection.
func (c *Conn) lost(err error) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead = true
	if c.err == nil {
		c.err = err
	}
	reason := "connection lost"
	if c.err != nil {
		reason = c.err.Error()
	}
	streams := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		s.drop()
		streams = append(streams, s)
	}
	c.out, c.waiting = nil, nil
	err = c.err
	c.mu.Unlock()
	for _, s := range streams {
		s.recv.Closed(s, &StreamError{Code: InternalError, Reason: reason, Lost: true})
	}
	c.handler.Lost(c, err)
}

// Close ends the connection at once; streams on it are lost.
func (c *Conn) Close() {
	c.lost(errors.New("closed by this end"))
	_ = c.nc.Close()
}

// Shutdown takes no further streams and closes when those open have ended. The peer is first warned without
// a last stream, so that what it has sent meanwhile is still served (RFC 9113, section 6.8).
func (c *Conn) Shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.dead || c.closing {
		return
	}
	c.draining = true
	if c.client {
		c.closeIfDone()
		return
	}
	c.out = goAway(c.out, maxWindow, NoError, "draining")
	mark := [8]byte{'d', 'r', 'a', 'i', 'n'}
	c.pinged[mark] = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.dead || c.closing {
			return
		}
		c.drainMark = true
		c.out = goAway(c.out, c.lastPeer, NoError, "draining")
		c.closeIfDone()
		c.kick()
	}
	c.out = append(appendHeader(c.out, header{length: 8, typ: framePing}), mark[:]...)
	c.kick()
}

// closeIfDone closes a draining connection without streams. c.mu is held.
func (c *Conn) closeIfDone() {
	drained := c.client && (c.draining || c.away) || c.drainMark
	if drained && len(c.streams) == 0 && !c.closing {
		c.closing = true
		c.kick()
	}
}

// Ping calls done when the peer has answered. It tells a live peer from a hung one.
func (c *Conn) Ping(id uint64, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var mark [8]byte
	binary.BigEndian.PutUint64(mark[:], id)
	c.pinged[mark] = done
	c.out = append(appendHeader(c.out, header{length: 8, typ: framePing}), mark[:]...)
	c.kick()
}
