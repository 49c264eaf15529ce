package http2_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const (
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// frameHeaderBytes is the length of a frame header (RFC 9113, section 4.1).
	frameHeaderBytes = 9
	// maxVerbatimPayload is the longest payload in bytes that a transcript contains in full. Longer ones are replaced by
	// their SHA-256.
	maxVerbatimPayload = 160
)

// transcript records the frames that the end under test writes, as read from the socket.
type transcript struct {
	t    *testing.T
	peer net.Conn
	text strings.Builder
}

func newTranscript(t *testing.T, peer net.Conn) *transcript {
	t.Helper()
	t.Cleanup(func() { _ = peer.Close() })
	if err := peer.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &transcript{t: t, peer: peer}
}

// step records the name of a step of the exchange and sends its frames to the end under test.
func (tr *transcript) step(name string, frames ...[]byte) {
	tr.t.Helper()
	fmt.Fprintf(&tr.text, "# %s\n", name)
	for _, frame := range frames {
		if _, err := tr.peer.Write(frame); err != nil {
			tr.t.Fatalf("%s: %v", name, err)
		}
	}
}

// readPreface records the client connection preface.
func (tr *transcript) readPreface() {
	tr.t.Helper()
	b := make([]byte, len(clientPreface))
	if _, err := io.ReadFull(tr.peer, b); err != nil {
		tr.t.Fatal(err)
	}
	fmt.Fprintf(&tr.text, "%x\n", b)
}

// readFrames records the next n frames.
func (tr *transcript) readFrames(n int) {
	tr.t.Helper()
	for range n {
		if err := tr.readFrame(); err != nil {
			tr.t.Fatalf("after\n%s: %v", tr.text.String(), err)
		}
	}
}

// readToEnd records all frames until the connection is closed.
func (tr *transcript) readToEnd() {
	tr.t.Helper()
	for {
		switch err := tr.readFrame(); {
		case err == nil:
		case errors.Is(err, io.EOF):
			tr.text.WriteString("closed\n")
			return
		default:
			tr.t.Fatalf("after\n%s: %v", tr.text.String(), err)
		}
	}
}

func (tr *transcript) readFrame() error {
	head := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(tr.peer, head); err != nil {
		return err
	}
	payload := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
	if _, err := io.ReadFull(tr.peer, payload); err != nil {
		return err
	}
	if len(payload) > maxVerbatimPayload {
		fmt.Fprintf(&tr.text, "%x sha256 %x\n", head, sha256.Sum256(payload))
		return nil
	}
	fmt.Fprintf(&tr.text, "%x %x\n", head, payload)
	return nil
}

// rawFrame encodes a frame independently of the package under test. typ and flags are numbers of RFC 9113, section 6.
func rawFrame(typ, flags byte, stream uint32, payload ...byte) []byte {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), typ, flags}
	return append(binary.BigEndian.AppendUint32(head, stream), payload...)
}

func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// postBlock is a header block with :method POST, :scheme http and :path /.
var postBlock = []byte{0x83, 0x86, 0x84}

var goldenConfig = http2.Config{MaxConcurrentStreams: 7, StreamWindow: 40000, ConnWindow: 70000, MaxHeaderListSize: 32 << 10}

// goldenReceiver responds to a request with headers, the length of the request's body, and trailers. The request header
// fields reset, long and hold change that.
type goldenReceiver struct {
	received       int  // bytes of the body so far
	longHeaders    bool // field long: the response headers need CONTINUATION frames
	consumeNothing bool // field hold: Consume is not called
}

func (*goldenReceiver) StreamOpened(*http2.Stream) http2.Receiver { return &goldenReceiver{} }
func (*goldenReceiver) GoAway(*http2.Conn, http2.ErrCode)         {}
func (*goldenReceiver) ConnClosed(*http2.Conn, error)             {}
func (*goldenReceiver) Sent(*http2.Stream, int)                   {}
func (*goldenReceiver) Closed(*http2.Stream, error)               {}
func (r *goldenReceiver) Headers(s *http2.Stream, fields []hpack.Field, end bool) {
	for _, f := range fields {
		switch f.Name {
		case "reset":
			s.Reset(http2.Cancel)
			return
		case "long":
			r.longHeaders = true
		case "hold":
			r.consumeNothing = true
		}
	}
	response := []hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
	if r.longHeaders {
		response = append(response, hpack.Field{Name: "long", Value: strings.Repeat("z|", 20000)})
	}
	_ = s.WriteHeaders(response, false)
	if end {
		_ = s.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}})
	}
}
func (r *goldenReceiver) Data(s *http2.Stream, p []byte, end bool) {
	r.received += len(p)
	if !r.consumeNothing {
		s.Consume(len(p))
	}
	if end {
		_, _ = s.Write(fmt.Appendf(nil, "%d bytes", r.received), false)
		_ = s.WriteTrailers([]hpack.Field{{Name: "grpc-status", Value: "0"}, {Name: "grpc-message", Value: "fine"}})
	}
}

func dialGoldenServer(t *testing.T) (*http2.Server, *transcript) {
	t.Helper()
	server, err := http2.Listen("tcp", "127.0.0.1:0", goldenConfig, func(*http2.Conn) http2.Handler { return &goldenReceiver{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	peer, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return server, newTranscript(t, peer)
}

// TestGoldenServer compares the bytes that a server writes with a golden file. They include SETTINGS, HEADERS,
// CONTINUATION, DATA, WINDOW_UPDATE, PING, RST_STREAM and GOAWAY frames.
func TestGoldenServer(t *testing.T) {
	server, tr := dialGoldenServer(t)
	tr.step("preface and SETTINGS", []byte(clientPreface), rawFrame(4, 0, 0))
	tr.readFrames(3)
	tr.step("request of 33000 bytes", rawFrame(1, 4, 1, postBlock...), rawFrame(0, 0, 1, make([]byte, 11000)...),
		rawFrame(0, 0, 1, make([]byte, 11000)...), rawFrame(0, 1, 1, make([]byte, 11000)...))
	tr.readFrames(4)
	tr.step("padded DATA", rawFrame(1, 4, 3, postBlock...), rawFrame(0, 9, 3, 2, 'a', 'b', 0, 0))
	tr.readFrames(3)
	tr.step("PING", rawFrame(6, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8))
	tr.readFrames(1)
	tr.step("request that is reset", rawFrame(1, 5, 5, append(postBlock, fromHex(t, "00 05 7265736574 01 31")...)...))
	tr.readFrames(1)
	tr.step("malformed request", rawFrame(1, 5, 7, 0x83))
	tr.readFrames(1)
	tr.step("SETTINGS_HEADER_TABLE_SIZE of 100 and a request", rawFrame(4, 0, 0, 0, 1, 0, 0, 0, 100),
		rawFrame(1, 5, 9, postBlock...))
	tr.readFrames(3)
	tr.step("response in CONTINUATION frames", rawFrame(1, 5, 11, append(postBlock, fromHex(t, "00 04 6c6f6e67 01 31")...)...))
	tr.readFrames(4)
	tr.step("SETTINGS_INITIAL_WINDOW_SIZE of 3", rawFrame(4, 0, 0, 0, 4, 0, 0, 0, 3))
	tr.readFrames(1)
	tr.step("request of 1 byte", rawFrame(1, 4, 13, postBlock...), rawFrame(0, 1, 13, 'x'))
	tr.readFrames(2)
	tr.step("WINDOW_UPDATE of 2", rawFrame(8, 0, 13, 0, 0, 0, 2))
	tr.readFrames(1)
	tr.step("WINDOW_UPDATE of 100", rawFrame(8, 0, 13, 0, 0, 0, 100))
	tr.readFrames(2)
	tr.step("request that stays open", rawFrame(1, 4, 15, postBlock...))
	tr.readFrames(1)
	tr.step("graceful shutdown")
	server.Drain()
	tr.readFrames(2)
	tr.step("PING acknowledged", rawFrame(6, 1, 0, []byte("drain\x00\x00\x00")...))
	tr.readFrames(1)
	tr.step("end of the open request", rawFrame(0, 1, 15))
	tr.readFrames(1)
	tr.step("WINDOW_UPDATE of 100", rawFrame(8, 0, 15, 0, 0, 0, 100))
	tr.readToEnd()
	golden.Compare(t, "server.txt", []byte(tr.text.String()))
}

// TestGoldenConnectionErrors compares the GOAWAY frames that end a connection, debug data included, with a golden file.
func TestGoldenConnectionErrors(t *testing.T) {
	settings := rawFrame(4, 0, 0)
	open := rawFrame(1, 4, 1, postBlock...)
	var text strings.Builder
	for _, tc := range []struct {
		name   string
		frames [][]byte
	}{
		{"PING before SETTINGS", [][]byte{rawFrame(6, 0, 0, make([]byte, 8)...)}},
		{"frame too large", [][]byte{settings, rawFrame(0, 0, 1, make([]byte, 16385)...)[:9]}},
		{"DATA on stream 0", [][]byte{settings, rawFrame(0, 0, 0, 1)}},
		{"DATA on an idle stream", [][]byte{settings, rawFrame(0, 0, 5, 1)}},
		{"pad length missing", [][]byte{settings, open, rawFrame(0, 8, 1)}},
		{"padding too long", [][]byte{settings, open, rawFrame(0, 8, 1, 9, 1, 2)}},
		{"HEADERS on stream 0", [][]byte{settings, rawFrame(1, 4, 0, 0x82)}},
		{"HEADERS on an even stream", [][]byte{settings, rawFrame(1, 5, 2, postBlock...)}},
		{"HEADERS on a lower stream", [][]byte{settings, rawFrame(1, 4, 5, postBlock...), rawFrame(1, 4, 3, postBlock...)}},
		{"HEADERS too short for its priority", [][]byte{settings, rawFrame(1, 0x24, 1, 0, 0)}},
		{"stream that depends on itself", [][]byte{settings, rawFrame(1, 0x24, 1, 0, 0, 0, 1, 0, 0x82)}},
		{"invalid index", [][]byte{settings, rawFrame(1, 4, 1, 0x80)}},
		{"index outside the tables", [][]byte{settings, rawFrame(1, 4, 1, 0xff, 0x80, 0x01)}},
		{"truncated block", [][]byte{settings, rawFrame(1, 4, 1, 0x40)}},
		{"integer too large", [][]byte{settings, rawFrame(1, 4, 1, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f)}},
		{"table size update too large", [][]byte{settings, rawFrame(1, 4, 1, 0x3f, 0xe2, 0x1f)}},
		{"invalid Huffman code", [][]byte{settings, rawFrame(1, 4, 1, 0x40, 0x84, 0xff, 0xff, 0xff, 0xff, 0)}},
		{"interrupted header block", [][]byte{settings, rawFrame(1, 0, 1, 0x82), rawFrame(6, 0, 0, make([]byte, 8)...)}},
		{"CONTINUATION without HEADERS", [][]byte{settings, rawFrame(9, 4, 1, 0x82)}},
		{"header block too large", [][]byte{settings, rawFrame(1, 0, 1, make([]byte, 16384)...),
			rawFrame(9, 0, 1, make([]byte, 16384)...), rawFrame(9, 0, 1, 0)}},
		{"RST_STREAM on an idle stream", [][]byte{settings, rawFrame(3, 0, 7, 0, 0, 0, 8)}},
		{"RST_STREAM of 3 bytes", [][]byte{settings, rawFrame(3, 0, 1, 0, 0, 0)}},
		{"SETTINGS on a stream", [][]byte{settings, rawFrame(4, 0, 1)}},
		{"SETTINGS of 3 bytes", [][]byte{settings, rawFrame(4, 0, 0, 1, 2, 3)}},
		{"SETTINGS acknowledgement of 6 bytes", [][]byte{settings, rawFrame(4, 1, 0, make([]byte, 6)...)}},
		{"SETTINGS_ENABLE_PUSH of 2", [][]byte{settings, rawFrame(4, 0, 0, 0, 2, 0, 0, 0, 2)}},
		{"SETTINGS_INITIAL_WINDOW_SIZE too large", [][]byte{settings, rawFrame(4, 0, 0, 0, 4, 255, 255, 255, 255)}},
		{"SETTINGS_MAX_FRAME_SIZE too small", [][]byte{settings, rawFrame(4, 0, 0, 0, 5, 0, 0, 0, 1)}},
		{"SETTINGS that overflows a window", [][]byte{settings, open, rawFrame(8, 0, 1, 0x7f, 0xff, 0, 0),
			rawFrame(4, 0, 0, 0, 4, 0x7f, 0xff, 0xff, 0xff)}},
		{"PING on a stream", [][]byte{settings, rawFrame(6, 0, 1, make([]byte, 8)...)}},
		{"PING of 7 bytes", [][]byte{settings, rawFrame(6, 0, 0, make([]byte, 7)...)}},
		{"GOAWAY on a stream", [][]byte{settings, rawFrame(7, 0, 1, make([]byte, 8)...)}},
		{"GOAWAY of 4 bytes", [][]byte{settings, rawFrame(7, 0, 0, make([]byte, 4)...)}},
		{"WINDOW_UPDATE of 5 bytes", [][]byte{settings, rawFrame(8, 0, 0, 0, 0, 0, 1, 0)}},
		{"WINDOW_UPDATE of 0", [][]byte{settings, rawFrame(8, 0, 0, 0, 0, 0, 0)}},
		{"WINDOW_UPDATE on an idle stream", [][]byte{settings, rawFrame(8, 0, 9, 0, 0, 0, 1)}},
		{"WINDOW_UPDATE that overflows", [][]byte{settings, rawFrame(8, 0, 0, 0x7f, 0xff, 0xff, 0xff)}},
		{"PUSH_PROMISE", [][]byte{settings, rawFrame(5, 4, 1, 0, 0, 0, 2)}},
		{"PRIORITY of 4 bytes", [][]byte{settings, rawFrame(2, 0, 1, 0, 0, 0, 0)}},
	} {
		_, tr := dialGoldenServer(t)
		tr.step(tc.name, append([][]byte{[]byte(clientPreface)}, tc.frames...)...)
		tr.readToEnd()
		text.WriteString(tr.text.String())
	}
	golden.Compare(t, "connection_errors.txt", []byte(text.String()))
}

// TestGoldenStreamErrors compares the RST_STREAM frames that end one stream with a golden file. A PING after the frames
// of each case marks their end, and shows that the connection is still open.
func TestGoldenStreamErrors(t *testing.T) {
	open := rawFrame(1, 4, 1, postBlock...)
	var text strings.Builder
	for _, tc := range []struct {
		name   string
		frames int // number to record, with the acknowledgement of the PING
		send   [][]byte
	}{
		{"WINDOW_UPDATE of 0", 3, [][]byte{open, rawFrame(8, 0, 1, 0, 0, 0, 0)}},
		{"WINDOW_UPDATE that overflows", 3, [][]byte{open, rawFrame(8, 0, 1, 0x7f, 0xff, 0xff, 0xff)}},
		{"trailers without END_STREAM", 3, [][]byte{open, open}},
		{"DATA on a closed stream", 4, [][]byte{rawFrame(1, 5, 1, postBlock...), rawFrame(0, 0, 1, 1)}},
		{"upper-case field", 2, [][]byte{rawFrame(1, 5, 1, append(postBlock, fromHex(t, "00 01 41 01 31")...)...)}},
		{"connection field", 2, [][]byte{rawFrame(1, 5, 1, append(postBlock, fromHex(t, "00 07 75706772616465 01 31")...)...)}},
		{"too many streams", 9, [][]byte{open, rawFrame(1, 4, 3, postBlock...), rawFrame(1, 4, 5, postBlock...),
			rawFrame(1, 4, 7, postBlock...), rawFrame(1, 4, 9, postBlock...), rawFrame(1, 4, 11, postBlock...),
			rawFrame(1, 4, 13, postBlock...), rawFrame(1, 4, 15, postBlock...)}},
		{"DATA beyond the stream's window", 3, [][]byte{
			rawFrame(1, 4, 1, append(postBlock, fromHex(t, "00 04 686f6c64 01 31")...)...), rawFrame(0, 0, 1, make([]byte, 16384)...),
			rawFrame(0, 0, 1, make([]byte, 16384)...), rawFrame(0, 0, 1, make([]byte, 16384)...)}},
	} {
		_, tr := dialGoldenServer(t)
		tr.step(tc.name, []byte(clientPreface), rawFrame(4, 0, 0))
		tr.readFrames(3)
		tr.step("frames", tc.send...)
		tr.step("PING", rawFrame(6, 0, 0, make([]byte, 8)...))
		tr.readFrames(tc.frames)
		text.WriteString(tr.text.String())
	}
	golden.Compare(t, "stream_errors.txt", []byte(text.String()))
}

// TestGoldenClient compares the bytes that a client writes, including its connection preface, with a golden file.
func TestGoldenClient(t *testing.T) {
	listener := testsupport.Listen(t)
	c, err := http2.Dial("tcp", listener.Addr().String(), 5*time.Second, goldenConfig, &goldenReceiver{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tr := newTranscript(t, peer)
	request := []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/a.B/C"},
		{Name: ":authority", Value: "worker"}, {Name: "te", Value: "trailers"},
		{Name: "grpc-timeout", Value: "250m"}, {Name: "secret", Value: "x", Sensitive: true}}
	open := func(body string, end bool) *http2.Stream {
		t.Helper()
		s, err := c.OpenStream(&goldenReceiver{}, request, []byte(body), end)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	tr.step("preface")
	tr.readPreface()
	tr.readFrames(2)
	tr.step("request")
	open("hello", true)
	tr.readFrames(2)
	tr.step("SETTINGS of the peer", rawFrame(4, 0, 0, 0, 4, 0, 0, 0, 5))
	tr.readFrames(1)
	tr.step("request beyond the window")
	s := open("hello, world", false)
	tr.readFrames(2)
	tr.step("WINDOW_UPDATE of 4", rawFrame(8, 0, s.ID(), 0, 0, 0, 4))
	tr.readFrames(1)
	tr.step("WINDOW_UPDATE of 400", rawFrame(8, 0, s.ID(), 0, 0, 1, 144))
	tr.readFrames(1)
	tr.step("trailers")
	if err := s.WriteTrailers([]hpack.Field{{Name: "done", Value: "1"}}); err != nil {
		t.Fatal(err)
	}
	tr.readFrames(1)
	tr.step("empty request")
	open("", true)
	tr.readFrames(1)
	tr.step("PING")
	c.Ping(0x0102030405060708, func() {})
	tr.readFrames(1)
	tr.step("RST_STREAM")
	open("", false).Reset(http2.Cancel)
	tr.readFrames(2)
	tr.step("response without :status", rawFrame(1, 4, 1, 0x83))
	tr.readFrames(1)
	tr.step("DATA on an idle stream", rawFrame(0, 0, 99, 1))
	tr.readToEnd()
	golden.Compare(t, "client.txt", []byte(tr.text.String()))
}
