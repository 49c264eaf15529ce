package grpcupstream

import (
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	xhttp2 "golang.org/x/net/http2"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// attemptCase is one way in which a worker ends an attempt, with the expected results.
type attemptCase struct {
	name     string
	streamed bool
	act      func(*scriptedStream) // what the worker does when it has the request
	result   dispatch.Result
	status   grpc.Code // that the client receives
	final    bool      // the call ends with the attempt
	draining bool      // the router is notified that the worker is draining
}

var okHeaders = []string{":status", "200", "content-type", "application/grpc"}

func withOKHeaders(kv ...string) []string { return append(append([]string(nil), okHeaders...), kv...) }

// completeResponses are well-formed responses that end with a status.
var completeResponses = []attemptCase{
	{name: "unary response", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, testMessage())
		s.headers(true, "grpc-status", "0")
	}, result: dispatch.OK, status: grpc.OK, final: true},
	{name: "streamed response", streamed: true, act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, append(testMessage(), testMessage()...))
		s.headers(true, "grpc-status", "0")
	}, result: dispatch.OK, status: grpc.OK, final: true},
	{name: "streamed response without messages", streamed: true, act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "0")...)
	}, result: dispatch.OK, status: grpc.OK, final: true},
	{name: "error of the worker", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "13", "grpc-message", "boom")...)
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "error of the request", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "3")...)
	}, result: dispatch.OK, status: grpc.InvalidArgument, final: true},
	{name: "unavailable without admission", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "14")...)
	}, result: dispatch.Errored, status: grpc.Unknown},
}

// brokenStreams are streams and connections that end without a complete response.
var brokenStreams = []attemptCase{
	{name: "REFUSED_STREAM", act: func(s *scriptedStream) {
		_ = s.framer.WriteRSTStream(s.id, xhttp2.ErrCodeRefusedStream)
	}, result: dispatch.Rejected, status: grpc.Unknown},
	{name: "above GOAWAY's last stream", act: func(s *scriptedStream) {
		_ = s.framer.WriteGoAway(0, xhttp2.ErrCodeNo, nil)
	}, result: dispatch.Rejected, status: grpc.Unknown, draining: true},
	{name: "below GOAWAY's last stream, then lost", act: func(s *scriptedStream) {
		_ = s.framer.WriteGoAway(s.id, xhttp2.ErrCodeNo, nil)
		_ = s.conn.Close()
	}, result: dispatch.ConnectionReset, status: grpc.Unknown, draining: true},
	{name: "RST_STREAM with another code", act: func(s *scriptedStream) {
		_ = s.framer.WriteRSTStream(s.id, xhttp2.ErrCodeInternal)
	}, result: dispatch.ConnectionReset, status: grpc.Unknown},
	{name: "connection lost", act: func(s *scriptedStream) { _ = s.conn.Close() }, result: dispatch.ConnectionReset, status: grpc.Unknown},
	{name: "connection error", act: func(s *scriptedStream) {
		_ = s.framer.WriteData(0, false, []byte{1})
	}, result: dispatch.ConnectionReset, status: grpc.Unknown},
	{name: "stream reset after its first message", streamed: true, act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, testMessage())
		_ = s.framer.WriteRSTStream(s.id, xhttp2.ErrCodeInternal)
	}, result: dispatch.ConnectionReset, status: grpc.Unknown, final: true},
}

// admissionResponses are responses by which a worker declines a call.
var admissionResponses = []attemptCase{
	{name: "admission full", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "8", oip.AdmissionField, oip.AdmissionFull)...)
	}, result: dispatch.Rejected, status: grpc.Unknown},
	{name: "admission draining", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "14", oip.AdmissionField, oip.AdmissionDraining)...)
	}, result: dispatch.Rejected, status: grpc.Unknown, draining: true},
	{name: "admission missing", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "5", oip.AdmissionField, oip.AdmissionNotResident)...)
	}, result: dispatch.NotResident, status: grpc.Unknown},
	{name: "admission full after a message", streamed: true, act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, testMessage())
		s.headers(true, "grpc-status", "8", oip.AdmissionField, oip.AdmissionFull)
	}, result: dispatch.Errored, status: grpc.ResourceExhausted, final: true},
}

// malformedResponses are responses that violate gRPC or a limit.
var malformedResponses = []attemptCase{
	{name: "OK without a message", act: func(s *scriptedStream) {
		s.headers(true, withOKHeaders("grpc-status", "0")...)
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "OK with two messages", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, append(testMessage(), testMessage()...))
		s.headers(true, "grpc-status", "0")
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "OK with a truncated message", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, testMessage()[:6])
		s.headers(true, "grpc-status", "0")
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "stream truncated within its second message", streamed: true, act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, append(testMessage(), testMessage()[:6]...))
		s.headers(true, "grpc-status", "0")
	}, result: dispatch.Errored, status: grpc.Internal, final: true},
	{name: "no trailers", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, true, testMessage())
	}, result: dispatch.Errored, status: grpc.Unknown},
	{name: "no status", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, testMessage())
		s.headers(true, "other", "x")
	}, result: dispatch.Errored, status: grpc.Unknown},
	{name: "HTTP 503", act: func(s *scriptedStream) {
		s.headers(false, ":status", "503", "content-type", "text/html")
		_ = s.framer.WriteData(s.id, true, []byte("<html>"))
	}, result: dispatch.Errored, status: grpc.Unknown},
	{name: "not gRPC", act: func(s *scriptedStream) {
		s.headers(false, ":status", "200", "content-type", "text/plain")
		_ = s.framer.WriteData(s.id, true, []byte("hello there"))
	}, result: dispatch.Errored, status: grpc.Unknown},
	{name: "bad message flag", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, []byte{9, 0, 0, 0, 0})
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "message beyond the limit", act: func(s *scriptedStream) {
		s.headers(false, okHeaders...)
		_ = s.framer.WriteData(s.id, false, []byte{0, 0x7f, 0, 0, 0})
		for range 80 {
			_ = s.framer.WriteData(s.id, false, make([]byte, 16000))
		}
	}, result: dispatch.Errored, status: grpc.Internal},
	{name: "malformed response", act: func(s *scriptedStream) {
		s.headers(true, ":status", "200", "Upper", "x")
	}, result: dispatch.ConnectionReset, status: grpc.Unknown},
}

// TestAttemptResults covers those rows of the table in evidence.go that are caused by the worker. Each attempt must
// have exactly one result, and each client must receive exactly one final answer.
func TestAttemptResults(t *testing.T) {
	for _, test := range slices.Concat(completeResponses, brokenStreams, admissionResponses, malformedResponses) {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r, dispatcher := newTestRouter(t, startScriptedWorker(t, test.act))
			client := submit(t, r, test.streamed, 10*time.Second)
			ended := testsupport.Await(t, dispatcher.ended, "the outcome")
			if ended.Result != test.result || ended.Final != test.final {
				t.Errorf("result %v, final %v, want %v, %v", ended.Result, ended.Final, test.result, test.final)
			}
			if st := testsupport.Await(t, client.status, "the final answer"); st.Code != test.status {
				t.Errorf("the client received %v, want %v", st, test.status)
			}
			if test.draining {
				if w := testsupport.Await(t, dispatcher.draining, "the notice of draining"); w != "w" {
					t.Errorf("notification that worker %s is draining, want w", w)
				}
			}
			if n := len(dispatcher.draining); n > 0 {
				t.Errorf("%d further notifications of draining", n)
			}
			select {
			case st := <-client.status:
				t.Errorf("a second final answer: %v", st)
			case ended := <-dispatcher.ended:
				t.Errorf("a second outcome: %v", ended)
			case <-time.After(50 * time.Millisecond):
			}
		})
	}
}

// TestRefusedConnectionIsConnectFailed checks the result of an attempt whose connect is refused: nothing was sent.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	r, dispatcher := newTestRouter(t, testsupport.UnusedAddress(t))
	submit(t, r, false, 5*time.Second)
	if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != dispatch.ConnectFailed {
		t.Errorf("%v", ended.Result)
	}
}

// TestFailedConnect checks that a connect that fails due to a fault of this host has the result NotSent, which does not
// count as a failure of the worker, while other failed connects have ConnectFailed.
func TestFailedConnect(t *testing.T) {
	for errno, want := range map[syscall.Errno]dispatch.Result{
		syscall.ENETUNREACH: dispatch.ConnectFailed, syscall.EMFILE: dispatch.NotSent, syscall.EADDRNOTAVAIL: dispatch.NotSent,
		syscall.ETIMEDOUT: dispatch.ConnectFailed, syscall.EHOSTUNREACH: dispatch.ConnectFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			r, dispatcher, _ := newTestRouterAndPool(t, "127.0.0.1:1",
				func(string, string, time.Duration, http2.Config, http2.Handler) (*http2.Conn, error) {
					return nil, os.NewSyscallError("connect", errno)
				})
			submit(t, r, false, 5*time.Second)
			if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != want {
				t.Errorf("%v, want %v", ended.Result, want)
			}
		})
	}
}

// TestTimeoutAndCancel checks the result of an attempt at a worker that does not answer, when the deadline passes and
// when the call is cancelled.
func TestTimeoutAndCancel(t *testing.T) {
	silent := startScriptedWorker(t, func(*scriptedStream) {})
	for name, test := range map[string]struct {
		remaining time.Duration
		cancel    bool
		want      dispatch.Result
	}{
		"deadline passes":      {remaining: 100 * time.Millisecond, want: dispatch.TimedOut},
		"cancelled, time left": {remaining: 10 * time.Second, cancel: true, want: dispatch.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			r, dispatcher := newTestRouter(t, silent)
			dispatcher.cancel = test.cancel
			submit(t, r, false, test.remaining)
			if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != test.want {
				t.Errorf("%v, want %v", ended.Result, test.want)
			}
		})
	}
}
