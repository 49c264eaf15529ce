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
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// refuser refuses every request, with advice.
type refuser struct{}

func (refuser) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		if r, ok := e.(dispatch.Request); ok {
			out = append(out, dispatch.RejectRequest{ID: r.ID, RetryAfter: 70 * time.Millisecond})
		}
	}
	return out
}

type noUpstream struct{}

func (noUpstream) StartAttempt(router.AttemptToken, *router.Call, string, int, time.Duration) router.UpstreamAttempt {
	return nil
}
func (noUpstream) LoadFunction(string, string, int, time.Duration, func(router.LoadResult)) {}
func (noUpstream) CheckHealth(string, time.Duration, func(router.HealthResult))             {}
func (noUpstream) SetEndpoints([]endpoints.Worker)                                          {}

func listen(t *testing.T) *Front {
	t.Helper()
	r, err := router.New(router.Config{NewDispatcher: func(dispatch.Settings, uint64) (router.Dispatcher, error) { return refuser{}, nil }}, noUpstream{})
	if err != nil {
		t.Fatal(err)
	}
	f, err := Listen(Config{Address: "127.0.0.1:0", Version: "test", Intake: &server.Intake{
		Models:    map[string]server.Model{"m": {Class: "c", MemoryMB: 1, Lanes: 1, Versions: []string{"1"}}},
		Deadlines: map[string]time.Duration{"c": time.Second}, MaxBody: 1000}}, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); r.Kill() })
	return f
}

// reader takes one answer.
type reader struct {
	head, trailers []hpack.Field
	body           bytes.Buffer
	done           chan error
}

func (r *reader) Open(*http2.Stream) http2.Receiver { return nil }
func (r *reader) GoAway(*http2.Conn, http2.ErrCode) {}
func (r *reader) ConnClosed(*http2.Conn, error)     {}
func (r *reader) Sent(*http2.Stream, int)           {}
func (r *reader) Headers(_ *http2.Stream, f []hpack.Field, end bool) {
	if !end {
		r.head = append(r.head, f...)
		return
	}
	r.trailers = append(r.trailers, f...)
	r.done <- nil
}
func (r *reader) Data(s *http2.Stream, p []byte, _ bool) { r.body.Write(p); s.Consume(len(p)) }
func (r *reader) Closed(_ *http2.Stream, err error) {
	if err != nil {
		r.done <- err
	}
}

// say sends a request as it is and returns the whole answer.
func say(t *testing.T, f *Front, path string, body []byte, more ...hpack.Field) *reader {
	t.Helper()
	r := &reader{done: make(chan error, 4)}
	c, err := http2.Dial("tcp", f.Addr(), time.Second, http2.Config{}, r)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fields := []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path}}
	ct := hpack.Field{Name: "content-type", Value: "application/grpc"}
	for _, m := range more {
		if m.Name == ct.Name {
			ct = m
		} else {
			fields = append(fields, m)
		}
	}
	if _, err := c.Open(r, append(fields, ct), body, true); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-r.done:
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: no answer", path)
	}
	return r
}

func framed(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(grpc.AppendPrefix(nil, len(raw), false), raw...)
}

func TestOddRequests(t *testing.T) {
	f := listen(t)
	ask := framed(&inference.ModelInferRequest{ModelName: "m"})
	zipped := compressMessage(t, make([]byte, 100000))
	field := func(n, v string) hpack.Field { return hpack.Field{Name: n, Value: v} }
	for name, c := range map[string]struct {
		path string
		body []byte
		more []hpack.Field
		code grpc.Code
	}{
		"refused by the module":      {oip.Infer, ask, nil, grpc.Unavailable},
		"a stream, refused":          {oip.StreamInfer, ask, nil, grpc.Unavailable},
		"a stream without a request": {oip.StreamInfer, nil, nil, grpc.OK},
		"no message":                 {oip.Infer, nil, nil, grpc.Internal},
		"half a message":             {oip.Infer, ask[:6], nil, grpc.Internal},
		"half a message on a stream": {oip.StreamInfer, ask[:6], nil, grpc.Internal},
		"two messages":               {oip.Infer, append(append([]byte(nil), ask...), ask...), nil, grpc.Unimplemented},
		"a bad flag":                 {oip.Infer, []byte{5, 0, 0, 0, 0}, nil, grpc.Internal},
		"too large":                  {oip.Infer, []byte{0, 0, 1, 0, 0}, nil, grpc.ResourceExhausted},
		"too large on a stream":      {oip.StreamInfer, []byte{0, 0, 1, 0, 0}, nil, grpc.ResourceExhausted},
		"not protobuf":               {oip.Infer, []byte{0, 0, 0, 0, 2, 0x0a, 0x7f}, nil, grpc.InvalidArgument},
		"no model":                   {oip.Infer, []byte{0, 0, 0, 0, 0}, nil, grpc.InvalidArgument},
		"another model":              {oip.Infer, framed(&inference.ModelInferRequest{ModelName: "x"}), nil, grpc.NotFound},
		"unknown compression":        {oip.Infer, ask, []hpack.Field{field("grpc-encoding", "brotli")}, grpc.Unimplemented},
		"compressed, no encoding":    {oip.Infer, append([]byte{1}, ask[1:]...), nil, grpc.InvalidArgument},
		"a gzip bomb":                {oip.Infer, zipped, []hpack.Field{field("grpc-encoding", "gzip")}, grpc.InvalidArgument},
		"a bad timeout":              {oip.Infer, ask, []hpack.Field{field("grpc-timeout", "soon")}, grpc.Internal},
		"another call":               {"/inference.GRPCInferenceService/Other", ask, nil, grpc.Unimplemented},
		"another service":            {"/x.Y/Z", ask, nil, grpc.Unimplemented},
		"a model's readiness":        {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: "m"}), nil, grpc.OK},
		"metadata of a model":        {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: "m"}), nil, grpc.OK},
		"metadata of another":        {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: "x"}), nil, grpc.NotFound},
		"metadata, not protobuf":     {oip.ModelMetadata, []byte{0, 0, 0, 0, 1, 0xff}, nil, grpc.InvalidArgument},
		"the server's metadata":      {oip.ServerMetadata, framed(&inference.ServerMetadataRequest{}), nil, grpc.OK},
		"the server's readiness":     {oip.ServerReady, framed(&inference.ServerReadyRequest{}), nil, grpc.OK},
	} {
		r := say(t, f, c.path, c.body, c.more...)
		if st := grpc.StatusFromTrailers(r.trailers); st.Code != c.code {
			t.Errorf("%s: %v, want %v", name, st, c.code)
		}
		if v, _ := grpc.FieldValue(r.trailers, "grpc-accept-encoding"); name == "unknown compression" && v != grpc.AcceptedEncodings {
			t.Errorf("%s: told of the encodings %q", name, v)
		}
		if v, _ := grpc.FieldValue(r.trailers, "grpc-retry-pushback-ms"); name == "refused by the module" && v != "70" {
			t.Errorf("%s: pushback %q", name, v)
		}
	}
	r := say(t, f, oip.Infer, ask, field("content-type", "application/json"))
	if v, _ := grpc.FieldValue(r.trailers, ":status"); v != "415" {
		t.Errorf("not gRPC: HTTP status %q", v)
	}
	if n := f.router.Stats().Open; n != 0 {
		t.Errorf("%d calls left", n)
	}
}

// TestDrainEndsIdleStreams: a stream without a call in hand is ended, so that a drain comes to its end.
func TestDrainEndsIdleStreams(t *testing.T) {
	f := listen(t)
	r := &reader{done: make(chan error, 4)}
	c, err := http2.Dial("tcp", f.Addr(), time.Second, http2.Config{}, r)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Open(r, []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: oip.StreamInfer}, {Name: "content-type", Value: "application/grpc"}}, nil, false); err != nil {
		t.Fatal(err)
	}
	for f.Streams() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Drain()
	select {
	case <-r.done:
	case <-time.After(20 * time.Second):
		t.Fatal("the idle stream goes on")
	}
	if st := grpc.StatusFromTrailers(r.trailers); st.Code != grpc.Unavailable {
		t.Errorf("ended by %v", st)
	}
}

// TestFinalAnswersInItsWords: the router's neutral final answers become a status and advice on retries; a failure
// never invites one, and what a worker said of the call is passed on only where it says more than that it failed.
func TestFinalAnswersInItsWords(t *testing.T) {
	internal := &router.AttemptResult{Result: dispatch.Errored, Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Internal, Message: "boom"}}}
	away := &router.AttemptResult{Result: dispatch.Errored, Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Unavailable}}}
	lost := &router.AttemptResult{Result: dispatch.ConnectionReset, Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Unknown}}}
	for name, c := range map[string]struct {
		f    router.FinalAnswer
		code grpc.Code
		push string
	}{
		"refused":               {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 250 * time.Millisecond}, grpc.Unavailable, "250"},
		"failed":                {router.FinalAnswer{Kind: router.FinalFailed}, grpc.Unknown, "-1"},
		"late":                  {router.FinalAnswer{Kind: router.FinalFailed, DeadlineExceeded: true, Attempt: internal}, grpc.DeadlineExceeded, "-1"},
		"failed by an error":    {router.FinalAnswer{Kind: router.FinalFailed, Attempt: internal}, grpc.Internal, "-1"},
		"failed, worker away":   {router.FinalAnswer{Kind: router.FinalFailed, Attempt: away}, grpc.Unknown, "-1"},
		"failed, without words": {router.FinalAnswer{Kind: router.FinalFailed, Attempt: &router.AttemptResult{Result: dispatch.Errored}}, grpc.Unknown, "-1"},
		"answered":              {router.FinalAnswer{Attempt: &router.AttemptResult{Result: dispatch.OK, Trailer: oip.Tail{}}}, grpc.OK, ""},
		"answered, then lost":   {router.FinalAnswer{Attempt: lost}, grpc.Unknown, ""},
	} {
		st, tail := Told(c.f)
		if push, _ := grpc.FieldValue(tail, "grpc-retry-pushback-ms"); st.Code != c.code || push != c.push {
			t.Errorf("%s: %v, pushback %q; want %v, %q", name, st, push, c.code, c.push)
		}
	}
}
