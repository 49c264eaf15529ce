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
	c    *Conn
	id   uint32
	recv Receiver

	// Guarded by c.mu.
	sendWindow, recvWindow      int64
	credit, unconsumed          int64
	queue                       []byte // written, not yet framed; from at on
	at                          int
	trailers                    []hpack.Field
	endQueued                   bool
	queued                      bool // in c.waiting
	sentEnd, gotEnd, gotHeaders bool
	interim                     bool // the last headers were informational
	closed                      bool
}

// Errors of opening and writing.
var (
	ErrClosed    = errors.New("http2: stream or connection is closed")
	ErrNoStreams = errors.New("http2: the peer takes no more streams for now")
	ErrAway      = errors.New("http2: the connection takes no further streams")
)

// ID is the stream's number on its connection.
func (s *Stream) ID() uint32 { return s.id }

// Conn is the stream's connection.
func (s *Stream) Conn() *Conn { return s.c }

// Room tells how many more streams this end may open now; 0 too when the connection takes no more.
func (c *Conn) Room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.closing || c.away || c.draining || c.nextID > maxWindow-2 {
		return 0
	}
	return max(int(min(c.peerMax, 1<<20))-c.mine, 0)
}

// Streams tells how many streams are open.
func (c *Conn) Streams() int {
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
	case c.dead || c.closing:
		return nil, ErrClosed
	case c.away || c.draining || c.nextID > maxWindow-2:
		return nil, ErrAway
	case c.mine >= int(min(c.peerMax, 1<<20)):
		return nil, ErrNoStreams
	}
	s := &Stream{c: c, id: c.nextID, recv: recv, sendWindow: c.peerWindow,
		recvWindow: int64(c.cfg.StreamWindow)}
	c.nextID += 2
	c.mine++
	c.streams[s.id] = s
	s.putHeaders(fields, end && len(body) == 0)
	if len(body) > 0 {
		s.write(body, end)
	}
	c.kick()
	return s, nil
}

// WriteHeaders sends a server's response headers; end makes them trailers-only.
func (s *Stream) WriteHeaders(fields []hpack.Field, end bool) error {
	s.c.mu.Lock()
	if s.closed || s.sentEnd {
		s.c.mu.Unlock()
		return ErrClosed
	}
	s.putHeaders(fields, end)
	s.c.kick()
	done := s.finished()
	s.c.mu.Unlock()
	if done {
		s.recv.Closed(s, nil)
	}
	return nil
}

// Write sends bytes, and the stream's end if end is set. It returns how many are on their way; the rest are
// queued, and [Receiver.Sent] tells when they leave. The caller bounds what it has queued.
func (s *Stream) Write(p []byte, end bool) (int, error) {
	s.c.mu.Lock()
	if s.closed || s.sentEnd || s.endQueued {
		s.c.mu.Unlock()
		return 0, ErrClosed
	}
	n := s.write(p, end)
	s.c.kick()
	done := s.finished()
	s.c.mu.Unlock()
	if done {
		s.recv.Closed(s, nil)
	}
	return n, nil
}

// WriteTrailers ends the stream with trailers, behind all that is queued.
func (s *Stream) WriteTrailers(fields []hpack.Field) error {
	s.c.mu.Lock()
	if s.closed || s.sentEnd || s.endQueued {
		s.c.mu.Unlock()
		return ErrClosed
	}
	s.trailers, s.endQueued = fields, true
	if !s.queued {
		s.emit(s.c.peerFrame)
		s.enqueue()
	}
	s.c.kick()
	done := s.finished()
	s.c.mu.Unlock()
	if done {
		s.recv.Closed(s, nil)
	}
	return nil
}

// Consume gives the peer window for n bytes that the owner has done with.
func (s *Stream) Consume(n int) {
	if n <= 0 {
		return
	}
	s.c.mu.Lock()
	took := min(int64(n), s.unconsumed)
	s.unconsumed -= took
	s.grant(took)
	s.c.mu.Unlock()
}

// Reset ends the stream at once with a code. Closed is not called for it. On a stream that is over it does
// nothing.
func (s *Stream) Reset(code ErrCode) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.closed {
		return
	}
	s.c.putReset(s.id, code)
	s.drop()
}

// grant returns consumed bytes to the stream's window, a half window at a time. c.mu is held.
func (s *Stream) grant(n int64) {
	if s.closed || s.gotEnd || n == 0 {
		return
	}
	if s.credit += n; s.credit >= int64(s.c.cfg.StreamWindow)/2 {
		s.c.out = appendHeader(s.c.out, header{length: 4, typ: frameWindow, stream: s.id})
		s.c.out = appendUint32(s.c.out, uint32(s.credit))
		s.recvWindow += s.credit
		s.credit = 0
		s.c.kick()
	}
}

// write frames what may go now and queues the rest. c.mu is held.
func (s *Stream) write(p []byte, end bool) int {
	s.endQueued = end
	if s.queued || s.at < len(s.queue) {
		if s.at > len(s.queue)/2 { // the part already framed is not kept
			s.queue, s.at = s.queue[:copy(s.queue, s.queue[s.at:])], 0
		}
		s.queue = append(s.queue, p...)
		s.enqueue()
		return 0
	}
	whole := p
	for {
		n := s.allowed(len(p))
		if n < len(p) && n == 0 || len(p) == 0 && !end {
			break
		}
		last := end && n == len(p)
		s.putData(p[:n], last)
		if p = p[n:]; len(p) == 0 {
			s.sentEnd = s.sentEnd || last
			return len(whole)
		}
	}
	s.queue, s.at = append(s.queue[:0], p...), 0
	s.enqueue()
	return len(whole) - len(p)
}

// allowed is how many of n bytes may be framed now.
func (s *Stream) allowed(n int) int {
	c := s.c
	room := min(int64(n), s.sendWindow, c.sendWindow, int64(c.peerFrame))
	if len(c.out) >= c.cfg.SendBuffer {
		room = 0
	}
	return int(max(room, 0))
}

func (s *Stream) putData(p []byte, end bool) {
	h := header{length: len(p), typ: frameData, stream: s.id}
	if end {
		h.flags = flagEnd
	}
	s.c.out = append(appendHeader(s.c.out, h), p...)
	s.sendWindow -= int64(len(p))
	s.c.sendWindow -= int64(len(p))
}

// emit frames up to limit queued bytes, and the end when nothing is left. c.mu is held.
func (s *Stream) emit(limit int) int {
	n := 0
	if left := len(s.queue) - s.at; left > 0 {
		n = s.allowed(min(left, limit))
		if n == 0 {
			return 0
		}
		last := s.endQueued && n == left && s.trailers == nil
		s.putData(s.queue[s.at:s.at+n], last)
		s.sentEnd = s.sentEnd || last
		if s.at += n; s.at == len(s.queue) {
			s.queue, s.at = s.queue[:0], 0
		}
	}
	if len(s.queue) == 0 && s.endQueued && !s.sentEnd {
		if s.trailers != nil {
			s.putHeaders(s.trailers, true)
		} else {
			s.putData(nil, true)
			s.sentEnd = true
		}
	}
	return n
}

func (s *Stream) drained() bool { return len(s.queue) == 0 && (!s.endQueued || s.sentEnd) }

// enqueue puts a stream with something left in the connection's turn. c.mu is held.
func (s *Stream) enqueue() {
	if !s.queued && !s.drained() {
		s.queued = true
		s.c.waiting = append(s.c.waiting, s)
	}
}

// putHeaders queues a header block, split as the peer's frame size asks. c.mu is held.
func (s *Stream) putHeaders(fields []hpack.Field, end bool) {
	c := s.c
	start := len(c.out)
	c.out = appendHeader(c.out, header{typ: frameHeaders, stream: s.id})
	c.out = c.enc.Begin(c.out)
	for _, f := range fields {
		c.out = c.enc.Append(c.out, f)
	}
	h := header{length: len(c.out) - start - headerLen, typ: frameHeaders, flags: flagEndHeaders, stream: s.id}
	if end {
		h.flags |= flagEnd
		s.sentEnd = true
	}
	if h.length > c.peerFrame {
		block := append([]byte(nil), c.out[start+headerLen:]...)
		c.out = c.out[:start]
		h.flags &^= flagEndHeaders
		for first := true; first || len(block) > 0; first = false {
			n := min(len(block), c.peerFrame)
			if h.length = n; n == len(block) {
				h.flags |= flagEndHeaders
			}
			c.out = append(appendHeader(c.out, h), block[:n]...)
			block = block[n:]
			h.typ, h.flags = frameContinuation, 0
		}
		return
	}
	appendHeader(c.out[start:start], h)
}

// finished takes a stream that both ends have ended out of the connection; it tells so once. A server that
// has answered wants no more of the request and says so (RFC 9113, section 8.1). c.mu is held.
func (s *Stream) finished() bool {
	if s.closed || !s.sentEnd || !s.gotEnd && s.c.client {
		return false
	}
	if !s.gotEnd {
		s.c.putReset(s.id, NoError)
	}
	s.drop()
	return true
}

// drop takes a stream out of the connection. c.mu is held.
func (s *Stream) drop() {
	if s.closed {
		return
	}
	s.closed = true
	delete(s.c.streams, s.id)
	if s.c.isPeers(s.id) {
		s.c.opened--
	} else {
		s.c.mine--
	}
	s.queue, s.trailers = nil, nil
	s.c.closeIfDone()
}

// malformed says what makes a request or response malformed (RFC 9113, sections 8.2 and 8.3), or nothing.
func malformed(fields []hpack.Field, request bool) string {
	var method, scheme, path, status int
	regular := false
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, ":") {
			regular = true
			if why := malformedField(f); why != "" {
				return why
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

func malformedTrailers(fields []hpack.Field) string {
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") {
			return "pseudo-header field in trailers"
		}
		if why := malformedField(f); why != "" {
			return why
		}
	}
	return ""
}

func malformedField(f hpack.Field) string {
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
