package http2

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	peer "golang.org/x/net/http2"
	peerhpack "golang.org/x/net/http2/hpack"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// echoHandler responds to each request with the request's body. It is also the Receiver of all streams.
type echoHandler struct {
	mu             sync.Mutex
	withholdWindow bool // Data does not call Consume
}

func (e *echoHandler) StreamOpened(*Stream) Receiver { return e }

func (e *echoHandler) GoAway(*Conn, ErrCode) {}

func (e *echoHandler) ConnClosed(*Conn, error) {}

func (e *echoHandler) Headers(s *Stream, _ []hpack.Field, end bool) {
	_ = s.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"}}, false)
	if end {
		_ = s.WriteTrailers([]hpack.Field{{Name: "done", Value: "1"}})
	}
}

func (e *echoHandler) Data(s *Stream, p []byte, end bool) {
	_, _ = s.Write(p, false)
	e.mu.Lock()
	withhold := e.withholdWindow
	e.mu.Unlock()
	if !withhold {
		s.Consume(len(p))
	}
	if end {
		_ = s.WriteTrailers([]hpack.Field{{Name: "done", Value: "1"}})
	}
}

func (e *echoHandler) Sent(*Stream, int) {}

func (e *echoHandler) Closed(*Stream, error) {}

// startServer starts a server with one echoHandler for all its connections.
func startServer(t testing.TB, cfg Config) (*Server, *echoHandler) {
	t.Helper()
	handler := &echoHandler{}
	server, err := Listen("tcp", "127.0.0.1:0", cfg, func(*Conn) Handler { return handler })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, handler
}

// rawClient is a client that can send any bytes, valid HTTP/2 or not.
type rawClient struct {
	t       testing.TB
	netConn net.Conn
	framer  *peer.Framer
	encoder *peerhpack.Encoder
	block   bytes.Buffer
}

func dialRawClient(t testing.TB, s *Server, sendPreface bool) *rawClient {
	t.Helper()
	netConn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = netConn.Close() })
	_ = netConn.SetDeadline(time.Now().Add(20 * time.Second))
	r := &rawClient{t: t, netConn: netConn, framer: peer.NewFramer(netConn, netConn)}
	r.framer.AllowIllegalWrites = true
	r.encoder = peerhpack.NewEncoder(&r.block)
	if sendPreface {
		r.write([]byte(clientPreface))
		if err := r.framer.WriteSettings(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *rawClient) write(p []byte) {
	if _, err := r.netConn.Write(p); err != nil {
		r.t.Logf("write: %v", err) // the server may have closed the connection already
	}
}

// requestBlock returns the header block of a request. extra holds further field names and values in turn.
func (r *rawClient) requestBlock(extra ...string) []byte {
	r.block.Reset()
	pairs := append([]string{":method", "POST", ":scheme", "http", ":path", "/x", ":authority", "a"}, extra...)
	for i := 0; i < len(pairs); i += 2 {
		_ = r.encoder.WriteField(peerhpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	return append([]byte(nil), r.block.Bytes()...)
}

// openStream sends request headers on stream 1 without END_STREAM.
func (r *rawClient) openStream() { r.writeHeaders(1, false, r.requestBlock()) }

func (r *rawClient) writeHeaders(id uint32, end bool, block []byte) {
	_ = r.framer.WriteHeaders(peer.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true, EndStream: end})
}

// readError reads frames until GOAWAY, or RST_STREAM for stream id, and returns the error code.
func (r *rawClient) readError(id uint32) (code ErrCode, goAway bool) {
	r.t.Helper()
	for {
		f, err := r.framer.ReadFrame()
		if err != nil {
			r.t.Fatalf("no GOAWAY or RST_STREAM received: %v", err)
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

// checkServesOtherClient checks that the server answers a valid request on a new connection.
func checkServesOtherClient(t testing.TB, s *Server) {
	t.Helper()
	r := dialRawClient(t, s, true)
	r.writeHeaders(1, false, r.requestBlock())
	_ = r.framer.WriteData(1, true, []byte("hello"))
	body := ""
	for {
		f, err := r.framer.ReadFrame()
		if err != nil {
			t.Fatalf("another client is not served: %v", err)
		}
		switch f := f.(type) {
		case *peer.DataFrame:
			body += string(f.Data())
		case *peer.HeadersFrame:
			if f.StreamEnded() {
				if body != "hello" {
					t.Fatalf("another client got the response %q, want \"hello\"", body)
				}
				return
			}
		}
	}
}

// encodeFrame encodes a frame without checking that it is valid.
func encodeFrame(typ frameType, flags uint8, stream uint32, payload ...byte) []byte {
	return append(appendFrameHeader(nil, frameHeader{len(payload), typ, flags, stream}), payload...)
}

func encodeUint32(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// recordingReceiver records the response body of one stream and how the stream ended.
type recordingReceiver struct {
	body           bytes.Buffer
	mu             sync.Mutex
	withholdWindow bool
	ended          chan error // receives nil when the response is complete, else the stream's error
	once           sync.Once
}

func newRecordingReceiver() *recordingReceiver {
	return &recordingReceiver{ended: make(chan error, 2)}
}

func (c *recordingReceiver) finish(err error) { c.once.Do(func() { c.ended <- err }) }

func (c *recordingReceiver) Headers(_ *Stream, _ []hpack.Field, end bool) {
	if end {
		c.finish(nil)
	}
}

func (c *recordingReceiver) Data(s *Stream, p []byte, _ bool) {
	c.mu.Lock()
	c.body.Write(p)
	withhold := c.withholdWindow
	c.mu.Unlock()
	if !withhold {
		s.Consume(len(p))
	}
}

func (c *recordingReceiver) Sent(*Stream, int) {}

func (c *recordingReceiver) Closed(_ *Stream, err error) {
	if err != nil {
		c.finish(err)
	}
}

// recordingHandler is the Handler of a client's connection and records GOAWAY and the connection's end.
type recordingHandler struct {
	goAway chan ErrCode
	closed chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{goAway: make(chan ErrCode, 4), closed: make(chan error, 4)}
}

func (*recordingHandler) StreamOpened(*Stream) Receiver { return nil }

func (c *recordingHandler) GoAway(_ *Conn, code ErrCode) { c.goAway <- code }

func (c *recordingHandler) ConnClosed(_ *Conn, err error) { c.closed <- err }

var requestFields = []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"}}

// dialServer connects to the server with this package's Dial.
func dialServer(t testing.TB, s *Server, cfg Config) (*Conn, *recordingHandler) {
	t.Helper()
	h := newRecordingHandler()
	c, err := Dial("tcp", s.Addr().String(), time.Second, cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, h
}
