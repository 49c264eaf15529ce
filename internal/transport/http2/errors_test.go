package http2

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestErrorTexts checks that the text of an error names the package, the failure and its cause.
func TestErrorTexts(t *testing.T) {
	violation := &ConnError{Code: ProtocolError, Reason: "DATA on stream 0"}
	for name, test := range map[string]struct {
		err  error
		want string
	}{
		"connection error": {violation, "http2: connection error PROTOCOL_ERROR: DATA on stream 0"},
		"stream lost with its connection": {
			&StreamError{Code: InternalError, ConnLost: true, Err: violation},
			"http2: stream ended with its connection: http2: connection error PROTOCOL_ERROR: DATA on stream 0",
		},
		"stream reset by the peer": {
			&StreamError{Code: Cancel, Reason: "RST_STREAM", Remote: true},
			"http2: reset by peer: CANCEL: RST_STREAM",
		},
		"stream error": {
			&StreamError{Code: StreamClosed, Reason: "DATA behind the end of the stream"},
			"http2: stream error: STREAM_CLOSED: DATA behind the end of the stream",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestStreamErrorUnwrapsToItsCause checks that the error of a stream wraps the error that ended its connection.
func TestStreamErrorUnwrapsToItsCause(t *testing.T) {
	if err := (&StreamError{ConnLost: true, Err: io.ErrUnexpectedEOF}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v doesn't wrap its cause", err)
	}
	s, _ := startServer(t, Config{})
	c, _ := dialServer(t, s, Config{})
	r := newRecordingReceiver()
	if _, err := c.OpenStream(r, requestFields, nil, false); err != nil {
		t.Fatal(err)
	}
	c.Close()
	if err := testsupport.Await(t, r.ended, "the end of the stream"); !errors.Is(err, errClosedLocal) {
		t.Errorf("got %v, want an error that wraps %v", err, errClosedLocal)
	}
}

// TestDialErrorNamesPackageAndAddress checks that a connect error names the address, so that its log line tells which
// server is unreachable.
func TestDialErrorNamesPackageAndAddress(t *testing.T) {
	s, _ := startServer(t, Config{})
	addr := s.Addr().String()
	s.Close()
	_, err := Dial("tcp", addr, time.Second, Config{}, newRecordingHandler())
	if err == nil || !strings.HasPrefix(err.Error(), "http2: ") || !strings.Contains(err.Error(), addr) {
		t.Errorf("got %v, want an error that starts with \"http2: \" and names %s", err, addr)
	}
}
