package http2

import (
	"errors"
	"strings"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Receiver takes what happens to one stream. Headers and Data come from the connection's reading goroutine,
// in order; Sent, and Closed when this end ends last, from the writing one. None may block. Closed comes
// once, last, unless this end called Reset.
type Receiver interface {
	// Headers brings a request's or response's headers, then perhaps trailers, which end the stream. The
	// slice is the connection's; the strings may be kept.
	Headers(s *Stream, fields []hpack.Field, end bool)
	// Data brings bytes that are the connection's until the call returns. Each byte is owed a
	// [Stream.Consume], at once or later; until then the peer has that much less window.
	Data(s *Stream, p []byte, end bool)
	// Sent tells that n more bytes of those that Write left queued are on their way.
	Sent(s *Stream, n int)
	// Closed tells that the stream is over: err is nil when both ends finished, else a *StreamError.
	Closed(s *Stream, err error)
}

// Stream is one exchange on a connection. Its methods may be called from any goroutine.
type Stream struct {
	conn     *Conn
	id       uint32
	receiver Receiver

	// Guarded by c.mu.
	sendWindow, recvWindow                int64
	recvCredit, unconsumed                int64
	sendBuffer                            []byte // written, not yet framed; from at on
	sendOffset                            int
	trailers                              []hpack.Field
	endQueued                             bool
	inSendQueue                           bool // in c.waiting
	endSent, endReceived, headersReceived bool
	informational                         bool // the last headers were informational
	closed                                bool
}

// Errors of opening and writing.
var (
	ErrClosed         = errors.New("http2: stream or connection is closed")
	ErrTooManyStreams = errors.New("http2: the peer takes no more streams for now")
	ErrGoAway         = errors.New("http2: the connection takes no further streams")
)

// ID is the stream's number on its connection.
func (s *Stream) ID() uint32 { return s.id }

// Conn is the stream's connection.
func (s *Stream) Conn() *Conn { return s.conn }

// Room tells how many more streams this end may open now; 0 too when the connection takes no more.
func (c *Conn) AvailableStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closeAfterFlush || c.goAwayReceived || c.draining || c.nextStreamID > maxWindowSize-2 {
		return 0
	}
	return max(int(min(c.peerMaxStreams, 1<<20))-c.numLocalStreams, 0)
}

// Streams tells how many streams are open.
func (c *Conn) NumStreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// Open starts a stream at a client with its headers, and its body if there is one already. What is written
// is copied. An error proves that nothing was sent.
func (c *Conn) Open(recv Receiver, fields []hpack.Field, body []byte, end bool) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.closeAfterFlush:
		return nil, ErrClosed
	case c.goAwayReceived || c.draining || c.nextStreamID > maxWindowSize-2:
		return nil, ErrGoAway
	case c.numLocalStreams >= int(min(c.peerMaxStreams, 1<<20)):
		return nil, ErrTooManyStreams
	}
	s := &Stream{conn: c, id: c.nextStreamID, receiver: recv, sendWindow: c.peerInitialWindow,
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

// WriteHeaders sends a server's response headers; end makes them trailers-only.
func (s *Stream) WriteHeaders(fields []hpack.Field, end bool) error {
	s.conn.mu.Lock()
	if s.closed || s.endSent {
		s.conn.mu.Unlock()
		return ErrClosed
	}
	s.appendHeaderBlock(fields, end)
	s.conn.scheduleFlush()
	done := s.removeIfFinished()
	s.conn.mu.Unlock()
	if done {
		s.receiver.Closed(s, nil)
	}
	return nil
}

// Write sends bytes, and the stream's end if end is set. It returns how many are on their way; the rest are
// queued, and [Receiver.Sent] tells when they leave. The caller bounds what it has queued.
func (s *Stream) Write(p []byte, end bool) (int, error) {
	s.conn.mu.Lock()
	if s.closed || s.endSent || s.endQueued {
		s.conn.mu.Unlock()
		return 0, ErrClosed
	}
	n := s.sendOrQueue(p, end)
	s.conn.scheduleFlush()
	done := s.removeIfFinished()
	s.conn.mu.Unlock()
	if done {
		s.receiver.Closed(s, nil)
	}
	return n, nil
}

// WriteTrailers ends the stream with trailers, behind all that is queued.
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
	s.conn.scheduleFlush()
	done := s.removeIfFinished()
	s.conn.mu.Unlock()
	if done {
		s.receiver.Closed(s, nil)
	}
	return nil
}

// Consume gives the peer window for n bytes that the owner has done with.
func (s *Stream) Consume(n int) {
	if n <= 0 {
		return
	}
	s.conn.mu.Lock()
	consumed := min(int64(n), s.unconsumed)
	s.unconsumed -= consumed
	s.returnWindow(consumed)
	s.conn.mu.Unlock()
}

// Reset ends the stream at once with a code. Closed is not called for it. On a stream that is over it does
// nothing.
func (s *Stream) Reset(code ErrCode) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.closed {
		return
	}
	s.conn.queueRSTStream(s.id, code)
	s.remove()
}

// grant returns consumed bytes to the stream's window, a half window at a time. c.mu is held.
func (s *Stream) returnWindow(n int64) {
	if s.closed || s.endReceived || n == 0 {
		return
	}
	if s.recvCredit += n; s.recvCredit >= int64(s.conn.cfg.StreamWindow)/2 {
		s.conn.writeBuffer = appendFrameHeader(s.conn.writeBuffer, frameHeader{length: 4, typ: frameWindowUpdate, streamID: s.id})
		s.conn.writeBuffer = appendUint32(s.conn.writeBuffer, uint32(s.recvCredit))
		s.recvWindow += s.recvCredit
		s.recvCredit = 0
		s.conn.scheduleFlush()
	}
}

// write frames what may go now and queues the rest. c.mu is held.
func (s *Stream) sendOrQueue(p []byte, end bool) int {
	s.endQueued = end
	if s.inSendQueue || s.sendOffset < len(s.sendBuffer) {
		if s.sendOffset > len(s.sendBuffer)/2 { // the part already framed is not kept
			s.sendBuffer, s.sendOffset = s.sendBuffer[:copy(s.sendBuffer, s.sendBuffer[s.sendOffset:])], 0
		}
		s.sendBuffer = append(s.sendBuffer, p...)
		s.joinSendQueue()
		return 0
	}
	all := p
	for {
		n := s.sendQuota(len(p))
		if n < len(p) && n == 0 || len(p) == 0 && !end {
			break
		}
		last := end && n == len(p)
		s.appendDataFrame(p[:n], last)
		if p = p[n:]; len(p) == 0 {
			s.endSent = s.endSent || last
			return len(all)
		}
	}
	s.sendBuffer, s.sendOffset = append(s.sendBuffer[:0], p...), 0
	s.joinSendQueue()
	return len(all) - len(p)
}

// allowed is how many of n bytes may be framed now.
func (s *Stream) sendQuota(n int) int {
	c := s.conn
	quota := min(int64(n), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameSize))
	if len(c.writeBuffer) >= c.cfg.SendBufferSize {
		quota = 0
	}
	return int(max(quota, 0))
}

func (s *Stream) appendDataFrame(p []byte, end bool) {
	h := frameHeader{length: len(p), typ: frameData, streamID: s.id}
	if end {
		h.flags = flagEndStream
	}
	s.conn.writeBuffer = append(appendFrameHeader(s.conn.writeBuffer, h), p...)
	s.sendWindow -= int64(len(p))
	s.conn.sendWindow -= int64(len(p))
}

// emit frames up to limit queued bytes, and the end when nothing is left. c.mu is held.
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

func (s *Stream) allSent() bool { return len(s.sendBuffer) == 0 && (!s.endQueued || s.endSent) }

// enqueue puts a stream with something left in the connection's turn. c.mu is held.
func (s *Stream) joinSendQueue() {
	if !s.inSendQueue && !s.allSent() {
		s.inSendQueue = true
		s.conn.sendQueue = append(s.conn.sendQueue, s)
	}
}

// putHeaders queues a header block, split as the peer's frame size asks. c.mu is held.
func (s *Stream) appendHeaderBlock(fields []hpack.Field, end bool) {
	c := s.conn
	start := len(c.writeBuffer)
	c.writeBuffer = appendFrameHeader(c.writeBuffer, frameHeader{typ: frameHeaders, streamID: s.id})
	c.writeBuffer = c.encoder.BeginBlock(c.writeBuffer)
	for _, f := range fields {
		c.writeBuffer = c.encoder.AppendField(c.writeBuffer, f)
	}
	h := frameHeader{length: len(c.writeBuffer) - start - frameHeaderLen, typ: frameHeaders, flags: flagEndHeaders, streamID: s.id}
	if end {
		h.flags |= flagEndStream
		s.endSent = true
	}
	if h.length > c.peerMaxFrameSize {
		block := append([]byte(nil), c.writeBuffer[start+frameHeaderLen:]...)
		c.writeBuffer = c.writeBuffer[:start]
		h.flags &^= flagEndHeaders
		for first := true; first || len(block) > 0; first = false {
			n := min(len(block), c.peerMaxFrameSize)
			if h.length = n; n == len(block) {
				h.flags |= flagEndHeaders
			}
			c.writeBuffer = append(appendFrameHeader(c.writeBuffer, h), block[:n]...)
			block = block[n:]
			h.typ, h.flags = frameContinuation, 0
		}
		return
	}
	appendFrameHeader(c.writeBuffer[start:start], h)
}

// finished takes a stream that both ends have ended out of the connection; it tells so once. A server that
// has answered wants no more of the request and says so (RFC 9113, section 8.1). c.mu is held.
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

// drop takes a stream out of the connection. c.mu is held.
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

// malformed says what makes a request or response malformed (RFC 9113, sections 8.2 and 8.3), or nothing.
func checkHeaders(fields []hpack.Field, request bool) string {
	var method, scheme, path, status int
	regular := false
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, ":") {
			regular = true
			if reason := checkField(f); reason != "" {
				return reason
			}
			continue
		}
		if regular {
			return "pseudo-header field behind a regular one"
		}
		switch {
		case request && f.Name == ":method":
			method++
		case request && f.Name == ":scheme":
			scheme++
		case request && f.Name == ":path" && f.Value != "":
			path++
		case request && f.Name == ":authority":
		case !request && f.Name == ":status":
			status++
		default:
			return "unexpected pseudo-header field " + f.Name
		}
	}
	if request && (method != 1 || scheme != 1 || path != 1) || !request && status != 1 {
		return "pseudo-header fields missing or repeated"
	}
	return ""
}

func checkTrailers(fields []hpack.Field) string {
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") {
			return "pseudo-header field in trailers"
		}
		if reason := checkField(f); reason != "" {
			return reason
		}
	}
	return ""
}

func checkField(f hpack.Field) string {
	if f.Name == "" {
		return "empty field name"
	}
	for i := range len(f.Name) {
		if b := f.Name[i]; b <= ' ' || b >= 0x7f || b >= 'A' && b <= 'Z' || b == ':' {
			return "invalid byte in a field name"
		}
	}
	if strings.ContainsAny(f.Value, "\x00\r\n") {
		return "invalid byte in the value of " + f.Name
	}
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		return "connection-specific field " + f.Name
	case "te":
		if f.Value != "trailers" {
			return "te of " + f.Value
		}
	}
	return ""
}
