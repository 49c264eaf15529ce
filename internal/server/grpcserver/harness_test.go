package grpcserver

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// The models of the tests. The name says what scriptedDispatcher does with a request for the model.
const (
	servedModel   = "served"
	rejectedModel = "rejected"
	failedModel   = "failed"
)

// scriptedDispatcher starts an attempt of a request, rejects it or fails it, depending on its model.
type scriptedDispatcher struct{}

func (scriptedDispatcher) Step(_ time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		if request, ok := event.(dispatch.Request); ok {
			switch request.Function {
			case servedModel:
				actions = append(actions, dispatch.StartAttempt{ID: request.ID, Worker: "w"})
			case rejectedModel:
				actions = append(actions, dispatch.RejectRequest{ID: request.ID, RetryAfter: 70 * time.Millisecond})
			case failedModel:
				actions = append(actions, dispatch.FailRequest{ID: request.ID})
			}
		}
	}
	return actions
}

// echoUpstream answers each attempt with the message of its request, and returns the client's metadata as trailers.
type echoUpstream struct {
	router    *router.Router
	remaining chan time.Duration // remaining deadline at the start of each attempt; dropped if the channel is full
}

// endedAttempt is the handle of an attempt that has already ended.
type endedAttempt struct{}

func (endedAttempt) ForwardTo(router.Client) {}
func (endedAttempt) Cancel()                 {}

func (u *echoUpstream) StartAttempt(token router.AttemptToken, call *router.Call, _ string, _ int, limits router.SendLimits) router.UpstreamAttempt {
	select {
	case u.remaining <- limits.Remaining:
	default:
	}
	request, _ := call.Request.(*oip.Request)
	trailers := append([]hpack.Field{{Name: "worker-trailer", Value: "t"}}, request.Metadata...)
	u.router.AttemptEnded(token, router.AttemptResult{Result: dispatch.OK, Body: request.Message, Report: router.NoWorkerReport,
		Head: []hpack.Field{{Name: "worker-head", Value: "h"}}, Trailer: oip.Trailer{Metadata: trailers}})
	return endedAttempt{}
}
func (*echoUpstream) LoadFunction(string, string, int, router.SendLimits, func(router.LoadResult)) {}
func (*echoUpstream) KeepConnections(bool)                                                         {}
func (*echoUpstream) CheckHealth(string, time.Duration, func(router.HealthResult))                 {}
func (*echoUpstream) UpdateEndpoints([]endpoints.Worker)                                           {}

// startServer starts a server with a router whose upstream is an echoUpstream.
func startServer(t *testing.T) *Server {
	t.Helper()
	s, _ := startServerAndUpstream(t)
	return s
}

func startServerAndUpstream(t *testing.T) (*Server, *echoUpstream) {
	t.Helper()
	upstream := &echoUpstream{remaining: make(chan time.Duration, 16)}
	newDispatcher := func(dispatch.Settings, uint64) (router.Dispatcher, error) { return scriptedDispatcher{}, nil }
	r, err := router.New(router.Config{NewDispatcher: newDispatcher}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream.router = r
	model := server.ModelSettings{Class: "c", MemoryMB: 1, ConcurrencyPerInstance: 1, Versions: []string{"1", "2"}}
	s, err := Listen(Config{Address: "127.0.0.1:0", Version: "test", CallBuilder: &server.CallBuilder{
		Models:    map[string]server.ModelSettings{servedModel: model, rejectedModel: model, failedModel: model},
		Deadlines: map[string]time.Duration{"c": 15 * time.Second}, MaxMessageBytes: 1000}}, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(); r.Kill() })
	return s, upstream
}

// responseReader is the client's side of one stream. It records the response.
type responseReader struct {
	header, trailers []hpack.Field
	body             bytes.Buffer
	done             chan error // receives nil when the response is complete, else the error that closed the stream
}

func newResponseReader() *responseReader { return &responseReader{done: make(chan error, 4)} }

func (r *responseReader) StreamOpened(*http2.Stream) http2.Receiver { return nil }
func (r *responseReader) GoAway(*http2.Conn, http2.ErrCode)         {}
func (r *responseReader) ConnClosed(*http2.Conn, error)             {}
func (r *responseReader) Sent(*http2.Stream, int)                   {}
func (r *responseReader) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		r.header = append(r.header, fields...)
		return
	}
	r.trailers = append(r.trailers, fields...)
	r.done <- nil
}
func (r *responseReader) Data(s *http2.Stream, p []byte, _ bool) {
	r.body.Write(p)
	s.Consume(len(p))
}
func (r *responseReader) Closed(_ *http2.Stream, err error) {
	if err != nil {
		r.done <- err
	}
}

// wait waits for the complete response. An error of the stream fails the test.
func (r *responseReader) wait(t *testing.T) {
	t.Helper()
	if err := r.waitForEnd(t); err != nil {
		t.Fatal(err)
	}
}

// waitForEnd waits for the stream's end. The error says why the response is incomplete.
func (r *responseReader) waitForEnd(t *testing.T) error {
	t.Helper()
	return testsupport.Await(t, r.done, "the response")
}

// requestHeader returns the header of a request. A content-type in fields replaces the one of gRPC.
func requestHeader(path string, fields ...hpack.Field) []hpack.Field {
	header := []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path}}
	contentType := hpack.Field{Name: "content-type", Value: "application/grpc"}
	for _, field := range fields {
		if field.Name == contentType.Name {
			contentType = field
		} else {
			header = append(header, field)
		}
	}
	return append(header, contentType)
}

// dial opens a connection to the server, which is closed at the end of the test.
func dial(t *testing.T, s *Server, handler http2.Handler) *http2.Conn {
	t.Helper()
	conn, err := http2.Dial("tcp", s.Addr(), 5*time.Second, http2.Config{}, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

// openStream opens a stream on a new connection and sends body on it. end says whether the request ends there.
func openStream(t *testing.T, s *Server, header []hpack.Field, body []byte, end bool) *responseReader {
	t.Helper()
	r := newResponseReader()
	if _, err := dial(t, s, r).OpenStream(r, header, body, end); err != nil {
		t.Fatal(err)
	}
	return r
}

// roundTrip sends a complete request and returns the complete response.
func roundTrip(t *testing.T, s *Server, path string, body []byte, fields ...hpack.Field) *responseReader {
	t.Helper()
	r := openStream(t, s, requestHeader(path, fields...), body, true)
	r.wait(t)
	return r
}

// waitForStream waits until a stream is open at the server.
func waitForStream(t *testing.T, s *Server) {
	t.Helper()
	testsupport.WaitUntil(t, "a stream is open", func() bool { return s.Streams() > 0 })
}

// framed returns a message with its gRPC prefix.
func framed(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(grpc.AppendPrefix(nil, len(raw), false), raw...)
}

// inferRequest returns the message of an inference request, with its gRPC prefix.
func inferRequest(model string) []byte {
	return framed(&inference.ModelInferRequest{ModelName: model})
}

// gzipBomb returns a compressed message that is within the server's size limit but exceeds it when uncompressed.
func gzipBomb(t *testing.T) []byte {
	t.Helper()
	return testsupport.CompressGRPCMessage(t, make([]byte, 100000))
}

// requestField returns a list with one header field.
func requestField(name, value string) []hpack.Field {
	return []hpack.Field{{Name: name, Value: value}}
}
