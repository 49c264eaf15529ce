package http2

import (
	"slices"
	"strings"
	"testing"
)

// protocolErrorCase is input that a peer must not send, with the RFC 9113 error code expected in response.
type protocolErrorCase struct {
	name   string
	send   func(r *rawClient)
	code   ErrCode
	stream uint32 // the stream that must be reset; 0 means that the connection must be ended by GOAWAY
}

// prefaceErrors violate RFC 9113, section 3.4. Their bytes are the first on the connection.
var prefaceErrors = []protocolErrorCase{
	{"not HTTP/2", func(r *rawClient) { r.write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) }, ProtocolError, 0},
	{"no SETTINGS first", func(r *rawClient) {
		r.write([]byte(clientPreface))
		r.write(encodeFrame(framePing, 0, 0, make([]byte, 8)...))
	}, ProtocolError, 0},
}

// framingErrors violate RFC 9113, sections 4 and 6.1.
var framingErrors = []protocolErrorCase{
	{"frame too large", func(r *rawClient) { r.write([]byte{0x00, 0x40, 0x01, 0, 0, 0, 0, 0, 1}) }, FrameSizeError, 0},
	{"DATA on stream 0", func(r *rawClient) { r.write(encodeFrame(frameData, 0, 0, 1)) }, ProtocolError, 0},
	{"DATA on an idle stream", func(r *rawClient) { r.write(encodeFrame(frameData, 0, 5, 1)) }, ProtocolError, 0},
	{"padding too long", func(r *rawClient) { r.openStream(); r.write(encodeFrame(frameData, flagPadded, 1, 9, 1, 2)) }, ProtocolError, 0},
	{"no pad length", func(r *rawClient) { r.openStream(); r.write(encodeFrame(frameData, flagPadded, 1)) }, FrameSizeError, 0},
}

// headerErrors violate RFC 9113, sections 4.3, 5.1, 6.2 and 6.10.
var headerErrors = []protocolErrorCase{
	{"HEADERS on stream 0", func(r *rawClient) { r.write(encodeFrame(frameHeaders, 4, 0, 0x82)) }, ProtocolError, 0},
	{"HEADERS on an even stream", func(r *rawClient) { r.writeHeaders(2, true, r.requestBlock()) }, ProtocolError, 0},
	{"HEADERS on a lower stream", func(r *rawClient) {
		r.writeHeaders(5, true, r.requestBlock())
		r.writeHeaders(3, true, r.requestBlock())
	}, StreamClosed, 0},
	{"invalid HPACK index", func(r *rawClient) { r.write(encodeFrame(frameHeaders, 4, 1, 0x80)) }, CompressionError, 0},
	{"interrupted header block", func(r *rawClient) {
		r.write(encodeFrame(frameHeaders, 0, 1, 0x82))
		r.write(encodeFrame(framePing, 0, 0, make([]byte, 8)...))
	}, ProtocolError, 0},
	{"CONTINUATION alone", func(r *rawClient) { r.write(encodeFrame(frameContinuation, 4, 1, 0x82)) }, ProtocolError, 0},
	{"a stream that depends on itself", func(r *rawClient) {
		r.write(encodeFrame(frameHeaders, 4|flagPriority, 1, append(encodeUint32(1), 0, 0x82)...))
	}, ProtocolError, 0},
}

// settingsErrors violate RFC 9113, section 6.5.
var settingsErrors = []protocolErrorCase{
	{"SETTINGS of 3 bytes", func(r *rawClient) { r.write(encodeFrame(frameSettings, 0, 0, 1, 2, 3)) }, FrameSizeError, 0},
	{"SETTINGS on a stream", func(r *rawClient) { r.write(encodeFrame(frameSettings, 0, 1)) }, ProtocolError, 0},
	{"SETTINGS acknowledged with a payload", func(r *rawClient) { r.write(encodeFrame(frameSettings, 1, 0, make([]byte, 6)...)) }, FrameSizeError, 0},
	{"initial window too large", func(r *rawClient) { r.write(encodeFrame(frameSettings, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff)) }, FlowControlError, 0},
	{"frame size too small", func(r *rawClient) { r.write(encodeFrame(frameSettings, 0, 0, 0, 5, 0, 0, 0, 1)) }, ProtocolError, 0},
	{"SETTINGS_ENABLE_PUSH of 2", func(r *rawClient) { r.write(encodeFrame(frameSettings, 0, 0, 0, 2, 0, 0, 0, 2)) }, ProtocolError, 0},
}

// controlFrameErrors violate RFC 9113, sections 6.3, 6.4, 6.6, 6.7, 6.8 and 6.9.
var controlFrameErrors = []protocolErrorCase{
	{"PING of 7 bytes", func(r *rawClient) { r.write(encodeFrame(framePing, 0, 0, make([]byte, 7)...)) }, FrameSizeError, 0},
	{"PING on a stream", func(r *rawClient) { r.write(encodeFrame(framePing, 0, 1, make([]byte, 8)...)) }, ProtocolError, 0},
	{"RST_STREAM on an idle stream", func(r *rawClient) { r.write(encodeFrame(frameRSTStream, 0, 7, encodeUint32(8)...)) }, ProtocolError, 0},
	{"RST_STREAM of 3 bytes", func(r *rawClient) { r.openStream(); r.write(encodeFrame(frameRSTStream, 0, 1, 0, 0, 0)) }, FrameSizeError, 0},
	{"window of the connection overflows", func(r *rawClient) { r.write(encodeFrame(frameWindowUpdate, 0, 0, encodeUint32(maxWindowSize)...)) }, FlowControlError, 0},
	{"WINDOW_UPDATE of 0", func(r *rawClient) { r.write(encodeFrame(frameWindowUpdate, 0, 0, encodeUint32(0)...)) }, ProtocolError, 0},
	{"WINDOW_UPDATE on an idle stream", func(r *rawClient) { r.write(encodeFrame(frameWindowUpdate, 0, 9, encodeUint32(1)...)) }, ProtocolError, 0},
	{"WINDOW_UPDATE of 5 bytes", func(r *rawClient) { r.write(encodeFrame(frameWindowUpdate, 0, 0, 0, 0, 0, 1, 0)) }, FrameSizeError, 0},
	{"PUSH_PROMISE", func(r *rawClient) { r.write(encodeFrame(framePushPromise, 4, 1, encodeUint32(2)...)) }, ProtocolError, 0},
	{"GOAWAY of 4 bytes", func(r *rawClient) { r.write(encodeFrame(frameGoAway, 0, 0, encodeUint32(0)...)) }, FrameSizeError, 0},
	{"PRIORITY of 4 bytes", func(r *rawClient) { r.write(encodeFrame(framePriority, 0, 1, encodeUint32(0)...)) }, ProtocolError, 0},
}

// floods send frames that are legal one by one but too many, or a header block that is too long.
var floods = []protocolErrorCase{
	{"CONTINUATION flood", func(r *rawClient) {
		r.write(encodeFrame(frameHeaders, 0, 1, 0x82))
		for range 300 {
			r.write(encodeFrame(frameContinuation, 0, 1))
		}
	}, EnhanceYourCalm, 0},
	{"endless header block", func(r *rawClient) {
		r.write(encodeFrame(frameHeaders, 0, 1, 0x82))
		for range 20 {
			r.write(encodeFrame(frameContinuation, 0, 1, make([]byte, 8000)...))
		}
	}, EnhanceYourCalm, 0},
	{"SETTINGS flood", func(r *rawClient) {
		for range 300 {
			r.write(encodeFrame(frameSettings, 0, 0))
		}
	}, EnhanceYourCalm, 0},
	{"PING flood", func(r *rawClient) {
		for range 300 {
			r.write(encodeFrame(framePing, 0, 0, make([]byte, 8)...))
		}
	}, EnhanceYourCalm, 0},
	{"rapid resets", func(r *rawClient) {
		for i := range uint32(300) {
			r.writeHeaders(2*i+1, true, r.requestBlock())
			r.write(encodeFrame(frameRSTStream, 0, 2*i+1, encodeUint32(8)...))
		}
	}, EnhanceYourCalm, 0},
	{"empty DATA flood", func(r *rawClient) {
		r.openStream()
		for range 300 {
			r.write(encodeFrame(frameData, 0, 1))
		}
	}, EnhanceYourCalm, 0},
	{"unknown frames flood", func(r *rawClient) {
		for range 300 {
			r.write(encodeFrame(99, 0, 0))
		}
	}, EnhanceYourCalm, 0},
}

// streamErrors must end one stream and not the connection.
var streamErrors = []protocolErrorCase{
	{"window of a stream overflows", func(r *rawClient) {
		r.openStream()
		r.write(encodeFrame(frameWindowUpdate, 0, 1, encodeUint32(maxWindowSize)...))
	}, FlowControlError, 1},
	{"DATA after END_STREAM", func(r *rawClient) {
		r.writeHeaders(1, true, r.requestBlock())
		r.write(encodeFrame(frameData, 0, 1, 1))
	}, StreamClosed, 1},
	{"upper-case field", func(r *rawClient) { r.writeHeaders(1, true, r.requestBlock("Bad", "x")) }, ProtocolError, 1},
	{"connection field", func(r *rawClient) { r.writeHeaders(1, true, r.requestBlock("connection", "close")) }, ProtocolError, 1},
	{"no :path", func(r *rawClient) { r.write(encodeFrame(frameHeaders, 5, 1, 0x83, 0x86)) }, ProtocolError, 1},
	{"pseudo-header field after a regular one", func(r *rawClient) { r.writeHeaders(1, true, r.requestBlock("a", "b", ":path", "/y")) }, ProtocolError, 1},
	{"line break in a value", func(r *rawClient) { r.writeHeaders(1, true, r.requestBlock("a", "b\r\nc")) }, ProtocolError, 1},
	{"header list too large", func(r *rawClient) {
		r.writeHeaders(1, true, r.requestBlock("a", strings.Repeat("0", 14000), "b", strings.Repeat("0", 7000)))
	}, EnhanceYourCalm, 1},
	{"trailers without END_STREAM", func(r *rawClient) { r.openStream(); r.writeHeaders(1, false, r.requestBlock()) }, ProtocolError, 1},
	{"too many streams", func(r *rawClient) {
		for i := range uint32(11) {
			r.writeHeaders(2*i+1, false, r.requestBlock())
		}
	}, RefusedStream, 21},
}

// TestProtocolErrors checks that input that a peer must not send ends the stream or the connection with the expected
// RFC 9113 error code, and that other clients are still served.
func TestProtocolErrors(t *testing.T) {
	s, _ := startServer(t, Config{GlitchBurst: 100, GlitchRate: 1, MaxConcurrentStreams: 10})
	for _, c := range prefaceErrors {
		t.Run(c.name, func(t *testing.T) { c.check(t, s, dialRawClient(t, s, false)) })
	}
	for _, c := range slices.Concat(framingErrors, headerErrors, settingsErrors, controlFrameErrors, floods, streamErrors) {
		t.Run(c.name, func(t *testing.T) { c.check(t, s, dialRawClient(t, s, true)) })
	}
}

// check sends the input of the case, checks the error code, and checks that another client is served.
func (c protocolErrorCase) check(t *testing.T, s *Server, r *rawClient) {
	t.Helper()
	c.send(r)
	code, goAway := r.readError(c.stream)
	if code != c.code || goAway != (c.stream == 0) {
		t.Errorf("got error code %v (by GOAWAY: %v), want %v", code, goAway, c.code)
	}
	checkServesOtherClient(t, s)
}
