package http2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	peer "golang.org/x/net/http2"
	peerhpack "golang.org/x/net/http2/hpack"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// echo answers each request with its own body, and counts what it is told.
type echo struct {
	mu      sync.Mutex
	open    int
	closed  []error
	hold    bool // consume nothing
	streams []*Stream
}

func (e *echo) Open(s *Stream) Receiver {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open++
	e.streams = append(e.streams, s)
	return e
}
func (e *echo) GoAway(*Conn, ErrCode)   {}
func (e *echo) ConnClosed(*Conn, error) {}
func (e *echo) Headers(s *Stream, f []hpack.Field, end bool) {
	_ = s.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}}, false)
	if end {
		_ = s.WriteTrailers([]hpack.Field{{Name: "done", Value: "1"}})
	}
}
func (e *echo) Data(s *Stream, p []byte, end bool) {
	_, _ = s.Write(p, false)
	e.mu.Lock()
	hold := e.hold
	e.mu.Unlock()
	if !hold {
		s.Consume(len(p))
	}
	if end {
		_ = s.WriteTrailers([]hpack.Field{{Name: "done", Value: "1"}})
	}
}
func (e *echo) Sent(*Stream, int) {}
func (e *echo) Closed(_ *Stream, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	e.closed = append(e.closed, err)
}

func serve(t testing.TB, cfg Config) (*Server, *echo) {
	t.Helper()
	e := &echo{}
	s, err := Listen("tcp", "127.0.0.1:0", cfg, func(*Conn) Handler { return e })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, e
}

// raw is a client that says whatever a test wants.
type raw struct {
	t   testing.TB
	nc  net.Conn
	fr  *peer.Framer
	enc *peerhpack.Encoder
	buf bytes.Buffer
}

func dialRaw(t testing.TB, s *Server, greet bool) *raw {
	t.Helper()
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	r := &raw{t: t, nc: nc, fr: peer.NewFramer(nc, nc)}
	r.fr.AllowIllegalWrites = true
	r.enc = peerhpack.NewEncoder(&r.buf)
	if greet {
		r.bytes([]byte(clientPreface))
		if err := r.fr.WriteSettings(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *raw) bytes(p []byte) {
	if _, err := r.nc.Write(p); err != nil {
		r.t.Logf("write: %v", err) // the server may have hung up already
	}
}

// request returns a block of request headers.
func (r *raw) request(more ...string) []byte {
	r.buf.Reset()
	list := append([]string{":method", "POST", ":scheme", "http", ":path", "/x", ":authority", "a"}, more...)
	for i := 0; i < len(list); i += 2 {
		_ = r.enc.WriteField(peerhpack.HeaderField{Name: list[i], Value: list[i+1]})
	}
	return append([]byte(nil), r.buf.Bytes()...)
}

func (r *raw) headers(id uint32, end bool, block []byte) {
	_ = r.fr.WriteHeaders(peer.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true, EndStream: end})
}

// ends reads until the connection is ended, and returns the GOAWAY's code, or until stream id is reset.
func (r *raw) ends(id uint32) (code ErrCode, goAway bool) {
	r.t.Helper()
	for {
		f, err := r.fr.ReadFrame()
		if err != nil {
			r.t.Fatalf("no GOAWAY or RST_STREAM came: %v", err)
		}
		switch f := f.(type) {
		case *peer.GoAwayFrame:
			return ErrCode(f.ErrCode), true
		case *peer.RSTStreamFrame:
			if f.StreamID == id {
				return ErrCode(f.ErrCode), false
			}
		}
	}
}

// works makes an ordinary exchange on another connection.
func works(t testing.TB, s *Server) {
	t.Helper()
	r := dialRaw(t, s, true)
	r.headers(1, false, r.request())
	_ = r.fr.WriteData(1, true, []byte("hello"))
	got := ""
	for {
		f, err := r.fr.ReadFrame()
		if err != nil {
			t.Fatalf("another client is not served: %v", err)
		}
		switch f := f.(type) {
		case *peer.DataFrame:
			got += string(f.Data())
		case *peer.HeadersFrame:
			if f.StreamEnded() {
				if got != "hello" {
					t.Fatalf("another client got %q", got)
				}
				return
			}
		}
	}
}

// frame is any frame at all.
func frame(typ frameType, flags uint8, stream uint32, payload ...byte) []byte {
	return append(appendFrameHeader(nil, frameHeader{len(payload), typ, flags, stream}), payload...)
}

func u32(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// TestHostileBytes sends what a peer must not send; each is answered by the code that RFC 9113 names, and
// others are served meanwhile.
func TestHostileBytes(t *testing.T) {
	tight := Config{GlitchBurst: 100, GlitchRate: 1, MaxConcurrentStreams: 10}
	open := func(r *raw) { r.headers(1, false, r.request()) }
	cases := []struct {
		name   string
		say    func(r *raw)
		code   ErrCode
		stream uint32 // reset alone; 0: the connection ends
	}{
		{"not HTTP/2", func(r *raw) { r.bytes([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) }, ProtocolError, 0},
		{"no SETTINGS first", func(r *raw) { r.bytes([]byte(clientPreface)); r.bytes(frame(framePing, 0, 0, make([]byte, 8)...)) }, ProtocolError, 0},
		{"frame too large", func(r *raw) { r.bytes([]byte{0x00, 0x40, 0x01, 0, 0, 0, 0, 0, 1}) }, FrameSizeError, 0},
		{"DATA on stream 0", func(r *raw) { r.bytes(frame(frameData, 0, 0, 1)) }, ProtocolError, 0},
		{"DATA on an idle stream", func(r *raw) { r.bytes(frame(frameData, 0, 5, 1)) }, ProtocolError, 0},
		{"HEADERS on stream 0", func(r *raw) { r.bytes(frame(frameHeaders, 4, 0, 0x82)) }, ProtocolError, 0},
		{"HEADERS on an even stream", func(r *raw) { r.headers(2, true, r.request()) }, ProtocolError, 0},
		{"streams that go back", func(r *raw) { r.headers(5, true, r.request()); r.headers(3, true, r.request()) }, StreamClosed, 0},
		{"padding too long", func(r *raw) { open(r); r.bytes(frame(frameData, flagPadded, 1, 9, 1, 2)) }, ProtocolError, 0},
		{"no pad length", func(r *raw) { open(r); r.bytes(frame(frameData, flagPadded, 1)) }, FrameSizeError, 0},
		{"broken HPACK", func(r *raw) { r.bytes(frame(frameHeaders, 4, 1, 0x80)) }, CompressionError, 0},
		{"interrupted header block", func(r *raw) {
			r.bytes(frame(frameHeaders, 0, 1, 0x82))
			r.bytes(frame(framePing, 0, 0, make([]byte, 8)...))
		}, ProtocolError, 0},
		{"CONTINUATION alone", func(r *raw) { r.bytes(frame(frameContinuation, 4, 1, 0x82)) }, ProtocolError, 0},
		{"CONTINUATION flood", func(r *raw) {
			r.bytes(frame(frameHeaders, 0, 1, 0x82))
			for range 300 {
				r.bytes(frame(frameContinuation, 0, 1))
			}
		}, EnhanceYourCalm, 0},
		{"endless header block", func(r *raw) {
			r.bytes(frame(frameHeaders, 0, 1, 0x82))
			for range 20 {
				r.bytes(frame(frameContinuation, 0, 1, make([]byte, 8000)...))
			}
		}, EnhanceYourCalm, 0},
		{"SETTINGS of an odd length", func(r *raw) { r.bytes(frame(frameSettings, 0, 0, 1, 2, 3)) }, FrameSizeError, 0},
		{"SETTINGS on a stream", func(r *raw) { r.bytes(frame(frameSettings, 0, 1)) }, ProtocolError, 0},
		{"SETTINGS acknowledged with a payload", func(r *raw) { r.bytes(frame(frameSettings, 1, 0, make([]byte, 6)...)) }, FrameSizeError, 0},
		{"initial window too large", func(r *raw) { r.bytes(frame(frameSettings, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff)) }, FlowControlError, 0},
		{"frame size too small", func(r *raw) { r.bytes(frame(frameSettings, 0, 0, 0, 5, 0, 0, 0, 1)) }, ProtocolError, 0},
		{"push of 2", func(r *raw) { r.bytes(frame(frameSettings, 0, 0, 0, 2, 0, 0, 0, 2)) }, ProtocolError, 0},
		{"SETTINGS flood", func(r *raw) {
			for range 300 {
				r.bytes(frame(frameSettings, 0, 0))
			}
		}, EnhanceYourCalm, 0},
		{"PING flood", func(r *raw) {
			for range 300 {
				r.bytes(frame(framePing, 0, 0, make([]byte, 8)...))
			}
		}, EnhanceYourCalm, 0},
		{"PING of 7 bytes", func(r *raw) { r.bytes(frame(framePing, 0, 0, make([]byte, 7)...)) }, FrameSizeError, 0},
		{"PING on a stream", func(r *raw) { r.bytes(frame(framePing, 0, 1, make([]byte, 8)...)) }, ProtocolError, 0},
		{"rapid resets", func(r *raw) {
			for i := range uint32(300) {
				r.headers(2*i+1, true, r.request())
				r.bytes(frame(frameRSTStream, 0, 2*i+1, u32(8)...))
			}
		}, EnhanceYourCalm, 0},
		{"RST_STREAM on an idle stream", func(r *raw) { r.bytes(frame(frameRSTStream, 0, 7, u32(8)...)) }, ProtocolError, 0},
		{"RST_STREAM of 3 bytes", func(r *raw) { open(r); r.bytes(frame(frameRSTStream, 0, 1, 0, 0, 0)) }, FrameSizeError, 0},
		{"window of the connection overflows", func(r *raw) { r.bytes(frame(frameWindowUpdate, 0, 0, u32(maxWindowSize)...)) }, FlowControlError, 0},
		{"WINDOW_UPDATE of 0", func(r *raw) { r.bytes(frame(frameWindowUpdate, 0, 0, u32(0)...)) }, ProtocolError, 0},
		{"WINDOW_UPDATE on an idle stream", func(r *raw) { r.bytes(frame(frameWindowUpdate, 0, 9, u32(1)...)) }, ProtocolError, 0},
		{"WINDOW_UPDATE of 5 bytes", func(r *raw) { r.bytes(frame(frameWindowUpdate, 0, 0, 0, 0, 0, 1, 0)) }, FrameSizeError, 0},
		{"PUSH_PROMISE", func(r *raw) { r.bytes(frame(framePushPromise, 4, 1, u32(2)...)) }, ProtocolError, 0},
		{"GOAWAY of 4 bytes", func(r *raw) { r.bytes(frame(frameGoAway, 0, 0, u32(0)...)) }, FrameSizeError, 0},
		{"PRIORITY of 4 bytes", func(r *raw) { r.bytes(frame(framePriority, 0, 1, u32(0)...)) }, ProtocolError, 0},
		{"a stream that depends on itself", func(r *raw) { r.bytes(frame(frameHeaders, 4|flagPriority, 1, append(u32(1), 0, 0x82)...)) }, ProtocolError, 0},
		{"empty DATA flood", func(r *raw) {
			open(r)
			for range 300 {
				r.bytes(frame(frameData, 0, 1))
			}
		}, EnhanceYourCalm, 0},
		{"unknown frames flood", func(r *raw) {
			for range 300 {
				r.bytes(frame(99, 0, 0))
			}
		}, EnhanceYourCalm, 0},
		{"window of a stream overflows", func(r *raw) { open(r); r.bytes(frame(frameWindowUpdate, 0, 1, u32(maxWindowSize)...)) }, FlowControlError, 1},
		{"DATA behind the end", func(r *raw) {
			r.headers(1, true, r.request())
			r.bytes(frame(frameData, 0, 1, 1))
		}, StreamClosed, 1},
		{"upper-case field", func(r *raw) { r.headers(1, true, r.request("Bad", "x")) }, ProtocolError, 1},
		{"connection field", func(r *raw) { r.headers(1, true, r.request("connection", "close")) }, ProtocolError, 1},
		{"no path", func(r *raw) { r.bytes(frame(frameHeaders, 5, 1, 0x83, 0x86)) }, ProtocolError, 1},
		{"pseudo-header behind a field", func(r *raw) { r.headers(1, true, r.request("a", "b", ":path", "/y")) }, ProtocolError, 1},
		{"line break in a value", func(r *raw) { r.headers(1, true, r.request("a", "b\r\nc")) }, ProtocolError, 1},
		{"header list too large", func(r *raw) {
			r.headers(1, true, r.request("a", strings.Repeat("0", 14000), "b", strings.Repeat("0", 7000)))
		}, EnhanceYourCalm, 1},
		{"trailers that do not end", func(r *raw) { open(r); r.headers(1, false, r.request()) }, ProtocolError, 1},
		{"a stream too many", func(r *raw) {
			for i := range uint32(11) {
				r.headers(2*i+1, false, r.request())
			}
		}, RefusedStream, 21},
	}
	s, _ := serve(t, tight)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := dialRaw(t, s, c.name != "not HTTP/2" && c.name != "no SETTINGS first")
			c.say(r)
			code, goAway := r.ends(c.stream)
			if code != c.code || goAway != (c.stream == 0) {
				t.Errorf("answered by %v (connection ended: %v), want %v", code, goAway, c.code)
			}
			works(t, s)
		})
	}
}

// TestPeerSendsBeyondTheWindow guards against a peer that ignores flow control.
func TestPeerSendsBeyondTheWindow(t *testing.T) {
	s, e := serve(t, Config{StreamWindow: 20000, ConnWindow: 100000})
	e.mu.Lock()
	e.hold = true
	e.mu.Unlock()
	r := dialRaw(t, s, true)
	r.headers(1, false, r.request())
	r.bytes(frame(frameData, 0, 1, make([]byte, 15000)...))
	r.bytes(frame(frameData, 0, 1, make([]byte, 15000)...))
	if code, goAway := r.ends(1); code != FlowControlError || goAway {
		t.Fatalf("%v, connection ended: %v", code, goAway)
	}
	works(t, s)
}

// TestPeerThatAsksAndNeverReads guards against answers that pile up.
func TestPeerThatAsksAndNeverReads(t *testing.T) {
	s, _ := serve(t, Config{MaxControlBytes: 64 << 10, GlitchBurst: 1e9, GlitchRate: 1, WriteTimeout: time.Second})
	r := dialRaw(t, s, true)
	ping := bytes.Repeat(frame(framePing, 0, 0, make([]byte, 8)...), 1000)
	ended := false
	for end := time.Now().Add(15 * time.Second); !ended && time.Now().Before(end); {
		_, err := r.nc.Write(ping)
		ended = err != nil
	}
	if !ended {
		t.Error("pings were taken for 15 s from a peer that reads nothing")
	}
	works(t, s)
}

// client is a Receiver of one exchange.
type client struct {
	got    bytes.Buffer
	mu     sync.Mutex
	hold   bool
	ended  chan error
	fields []hpack.Field
	once   sync.Once
}

func newClient() *client           { return &client{ended: make(chan error, 2)} }
func (c *client) finish(err error) { c.once.Do(func() { c.ended <- err }) }
func (c *client) Headers(_ *Stream, f []hpack.Field, end bool) {
	if end {
		c.fields = append(c.fields, f...)
		c.finish(nil)
	}
}
func (c *client) Data(s *Stream, p []byte, end bool) {
	c.mu.Lock()
	c.got.Write(p)
	hold := c.hold
	c.mu.Unlock()
	if !hold {
		s.Consume(len(p))
	}
}
func (c *client) Sent(*Stream, int) {}
func (c *client) Closed(_ *Stream, err error) {
	if err != nil {
		c.finish(err)
	}
}

// conns is a client's Handler.
type conns struct {
	away chan ErrCode
	lost chan error
}

func newConns() *conns                         { return &conns{make(chan ErrCode, 4), make(chan error, 4)} }
func (*conns) Open(*Stream) Receiver           { return nil }
func (c *conns) GoAway(_ *Conn, code ErrCode)  { c.away <- code }
func (c *conns) ConnClosed(_ *Conn, err error) { c.lost <- err }

var requestFields = []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"}}

func dialOurs(t testing.TB, s *Server, cfg Config) (*Conn, *conns) {
	t.Helper()
	h := newConns()
	c, err := Dial("tcp", s.Addr().String(), time.Second, cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, h
}

func wait[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatalf("%s did not come", what)
		panic("unreached")
	}
}

// TestBothEnds echoes bodies of many sizes over one connection at once: larger than windows, frames and buffers.
func TestBothEnds(t *testing.T) {
	s, _ := serve(t, Config{StreamWindow: 30000, ConnWindow: 80000, SendBufferSize: 20000})
	c, _ := dialOurs(t, s, Config{StreamWindow: 40000, SendBufferSize: 10000})
	var wg sync.WaitGroup
	for i, n := range []int{0, 1, 16384, 16385, 65535, 65536, 200000, 1 << 20, 5 << 20} {
		body := bytes.Repeat([]byte{byte(i + 1)}, n)
		wg.Go(func() {
			r := newClient()
			if _, err := c.Open(r, requestFields, body, true); err != nil {
				t.Error(err)
				return
			}
			if err := wait(t, r.ended, "the end"); err != nil {
				t.Errorf("%d bytes: %v", n, err)
			} else if !bytes.Equal(r.got.Bytes(), body) {
				t.Errorf("%d bytes came back as %d", n, r.got.Len())
			}
		})
	}
	wg.Wait()
	if n := c.NumStreams(); n != 0 {
		t.Errorf("%d streams left", n)
	}
}

// TestSlowReaderStopsOnlyItself has one stream not read while others on the connection go on.
func TestSlowReaderStopsOnlyItself(t *testing.T) {
	s, _ := serve(t, Config{StreamWindow: 64 << 10, ConnWindow: 128 << 10})
	c, _ := dialOurs(t, s, Config{StreamWindow: 32 << 10})
	slow := newClient()
	slow.hold = true
	st, err := c.Open(slow, requestFields, make([]byte, 500<<10), true)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		r := newClient()
		if _, err := c.Open(r, requestFields, make([]byte, 100<<10), true); err != nil {
			t.Fatal(err)
		}
		if err := wait(t, r.ended, "another stream's end"); err != nil || r.got.Len() != 100<<10 {
			t.Fatalf("another stream: %d bytes, %v", r.got.Len(), err)
		}
	}
	slow.mu.Lock()
	got := slow.got.Len()
	slow.mu.Unlock()
	if got > 32<<10 {
		t.Errorf("the slow stream got %d bytes, beyond its window", got)
	}
	slow.mu.Lock()
	slow.hold = false
	slow.mu.Unlock()
	st.Consume(got)
	if err := wait(t, slow.ended, "the slow stream's end"); err != nil || slow.got.Len() != 500<<10 {
		t.Errorf("the slow stream in the end: %d bytes, %v", slow.got.Len(), err)
	}
}

// TestDrainLosesNothing asks a server to drain with streams open, and more being opened meanwhile.
func TestDrainLosesNothing(t *testing.T) {
	s, _ := serve(t, Config{})
	c, h := dialOurs(t, s, Config{})
	r := newClient()
	st, err := c.Open(r, requestFields, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := st.Write([]byte("first"), false); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if code := wait(t, h.away, "GOAWAY"); code != NoError {
		t.Fatalf("GOAWAY with %v", code)
	}
	if _, err := c.Open(newClient(), requestFields, nil, true); !errors.Is(err, ErrGoAway) {
		t.Errorf("a stream after GOAWAY: %v", err)
	}
	if _, err := st.Write([]byte(" and last"), true); err != nil {
		t.Fatal(err)
	}
	if err := wait(t, r.ended, "the end"); err != nil || r.got.String() != "first and last" {
		t.Fatalf("%q, %v", r.got.String(), err)
	}
	_ = wait(t, h.lost, "the connection's end")
}

// TestGoAwayBelowAStream: what lies above GOAWAY's last stream never ran, what lies below may have.
func TestGoAwayBelowAStream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		fr := peer.NewFramer(nc, nc)
		_, _ = io.ReadFull(nc, make([]byte, len(clientPreface)))
		_ = fr.WriteSettings()
		for {
			f, err := fr.ReadFrame()
			if err != nil {
				return
			}
			if h, ok := f.(*peer.HeadersFrame); ok && h.StreamID == 5 {
				_ = fr.WriteGoAway(3, peer.ErrCodeNo, nil)
				_ = fr.WriteRSTStream(1, peer.ErrCodeRefusedStream)
				_ = nc.Close()
			}
		}
	}()
	h := newConns()
	c, err := Dial("tcp", ln.Addr().String(), time.Second, Config{}, h)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var rs [3]*client
	for i := range rs {
		rs[i] = newClient()
		if _, err := c.Open(rs[i], requestFields, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []struct{ never, lost bool }{{true, false}, {false, true}, {true, false}} {
		var se *StreamError
		if err := wait(t, rs[i].ended, "an end"); !errors.As(err, &se) || se.Unprocessed != want.never || se.ConnLost != want.lost {
			t.Errorf("stream %d: %v, want never ran %v, lost %v", 2*i+1, err, want.never, want.lost)
		}
	}
}

// TestLargeHeadersAreSplit sends a header list over several CONTINUATION frames.
func TestLargeHeadersAreSplit(t *testing.T) {
	s, _ := serve(t, Config{MaxHeaderListSize: 1 << 20, MaxHeaderBlockSize: 1 << 20})
	c, _ := dialOurs(t, s, Config{})
	fields := append([]hpack.Field(nil), requestFields...)
	for i := range 60 {
		fields = append(fields, hpack.Field{Name: fmt.Sprintf("x-%d", i), Value: strings.Repeat("z", 900)})
	}
	r := newClient()
	if _, err := c.Open(r, fields, []byte("body"), true); err != nil {
		t.Fatal(err)
	}
	if err := wait(t, r.ended, "the end"); err != nil || r.got.String() != "body" {
		t.Fatalf("%q, %v", r.got.String(), err)
	}
}

// TestClosingListenersHitsNobodyElse guards against descriptors that are closed twice: while listeners come and
// go, connections of others, which get the same numbers, go on.
func TestClosingListenersHitsNobodyElse(t *testing.T) {
	s, _ := serve(t, Config{})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				other, err := Listen("tcp", "127.0.0.1:0", Config{}, func(*Conn) Handler { return &echo{} })
				if err != nil {
					t.Error(err)
					return
				}
				other.Close()
				other.Close()
			}
		})
	}
	for range 100 {
		c, _ := dialOurs(t, s, Config{})
		for range 5 {
			r := newClient()
			if _, err := c.Open(r, requestFields, []byte("hello"), true); err != nil {
				t.Fatal(err)
			}
			if err := wait(t, r.ended, "the end"); err != nil || r.got.String() != "hello" {
				t.Fatalf("%q, %v", r.got.String(), err)
			}
		}
		c.Close()
	}
	close(stop)
	wg.Wait()
}

// faulty panics on a request with a body.
type faulty struct{ echo }

func (f *faulty) Open(s *Stream) Receiver { f.echo.Open(s); return f }
func (f *faulty) Data(s *Stream, p []byte, end bool) {
	if string(p) == "panic" {
		panic("a fault of the program")
	}
	f.echo.Data(s, p, end)
}

// TestPanicEndsItsConnectionAlone guards against a connection that is left waiting, or a process that is gone,
// when its handler panics.
func TestPanicEndsItsConnectionAlone(t *testing.T) {
	s, err := Listen("tcp", "127.0.0.1:0", Config{}, func(*Conn) Handler { return &faulty{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	good, _ := dialOurs(t, s, Config{})
	bad, h := dialOurs(t, s, Config{})
	for range 3 {
		r := newClient()
		if _, err := bad.Open(r, requestFields, []byte("panic"), true); err == nil {
			var se *StreamError
			if err := wait(t, r.ended, "the end"); !errors.As(err, &se) || !se.ConnLost {
				t.Errorf("the call that panicked: %v", err)
			}
		}
		r = newClient()
		if _, err := good.Open(r, requestFields, []byte("fine"), true); err != nil {
			t.Fatal(err)
		}
		if err := wait(t, r.ended, "the end"); err != nil || r.got.String() != "fine" {
			t.Errorf("another connection: %q, %v", r.got.String(), err)
		}
	}
	_ = wait(t, h.lost, "the connection's end")
}

// FuzzFrames feeds frames to a server's end without a socket: no panic, and bounded state.
func FuzzFrames(f *testing.F) {
	f.Add(frame(frameSettings, 0, 0))
	f.Add(append(frame(frameSettings, 0, 0), frame(frameHeaders, 5, 1, 0x83, 0x86, 0x84)...))
	f.Add(append(append(frame(frameSettings, 0, 0), frame(frameHeaders, 4, 1, 0x83, 0x86, 0x84)...), frame(frameData, 1, 1, 1, 2, 3)...))
	f.Add(append(frame(frameSettings, 0, 0), frame(frameWindowUpdate, 0, 0, u32(maxWindowSize)...)...))
	f.Add(append(frame(frameSettings, 0, 0), frame(frameGoAway, 0, 0, append(u32(0), u32(0)...)...)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Conn{cfg: Config{MaxConcurrentStreams: 50}.withDefaults(), handler: &echo{}, decoder: hpack.NewDecoder(4096, 16<<10), encoder: hpack.NewEncoder(),
			glitchTokens: 1000, glitchTokensAt: time.Now(), streams: map[uint32]*Stream{}, resetStreams: map[uint32]bool{}, nextStreamID: 2,
			sendWindow: defaultWindowSize, recvWindow: 1 << 20, peerInitialWindow: defaultWindowSize, peerMaxFrameSize: minMaxFrameSize, peerMaxStreams: 100,
			prefaceReceived: true, pendingPings: map[[8]byte]func(){}, flushing: true} // flushing: nothing is written
		for len(data) >= frameHeaderLen {
			h := parseFrameHeader(data)
			data = data[frameHeaderLen:]
			h.length = min(h.length, len(data), minMaxFrameSize)
			if err := c.handleFrame(h, data[:h.length]); err != nil {
				break
			}
			data = data[h.length:]
		}
		if len(c.streams) > 50 || c.numPeerStreams != len(c.streams) {
			t.Fatalf("%d streams, counted %d", len(c.streams), c.numPeerStreams)
		}
		if len(c.resetStreams) > 600 {
			t.Fatalf("%d reset streams remembered", len(c.resetStreams))
		}
	})
}
