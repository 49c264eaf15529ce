package grpcserver

import (
	"fmt"
	"strings"
	"testing"
	"time"

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

// Models of the golden tests, by what scriptedDispatcher does with their requests.
const (
	servedModel   = "served"
	rejectedModel = "rejected"
	failedModel   = "failed"
)

// scriptedDispatcher decides about each request by its model.
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

// echoUpstream answers each attempt with its request's message, and with metadata of its own.
type echoUpstream struct{ router *router.Router }

type endedAttempt struct{}

func (endedAttempt) ForwardTo(router.Client) {}
func (endedAttempt) Cancel()                 {}

func (u *echoUpstream) StartAttempt(token router.AttemptToken, call *router.Call, _ string, _ int, _ time.Duration) router.UpstreamAttempt {
	request, _ := call.Request.(*oip.Request)
	trailers := append([]hpack.Field{{Name: "worker-trailer", Value: "t"}}, request.Metadata...)
	u.router.AttemptEnded(token, router.AttemptResult{Result: dispatch.OK, Body: request.Message, Report: router.NoWorkerReport,
		Head: []hpack.Field{{Name: "worker-head", Value: "h"}}, Trailer: oip.Tail{Trailers: trailers}})
	return endedAttempt{}
}
func (*echoUpstream) LoadFunction(string, string, int, time.Duration, func(router.LoadResult)) {}
func (*echoUpstream) CheckHealth(string, time.Duration, func(router.HealthResult))             {}
func (*echoUpstream) SetEndpoints([]endpoints.Worker)                                          {}

// fieldText writes fields as "name: value; name: value". The protobuf library varies the spaces of its errors on purpose:
// they are made alike.
func fieldText(fields []hpack.Field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.Name+": "+strings.ReplaceAll(f.Value, "%C2%A0", " "))
	}
	return strings.Join(list, "; ")
}

// listenScripted starts a server with a router before an echoUpstream.
func listenScripted(t *testing.T) *Front {
	t.Helper()
	upstream := &echoUpstream{}
	newDispatcher := func(dispatch.Settings, uint64) (router.Dispatcher, error) { return scriptedDispatcher{}, nil }
	r, err := router.New(router.Config{NewDispatcher: newDispatcher}, upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream.router = r
	model := server.Model{Class: "c", MemoryMB: 1, Lanes: 1, Versions: []string{"1", "2"}}
	f, err := Listen(Config{Address: "127.0.0.1:0", Version: "test", Intake: &server.Intake{
		Models:    map[string]server.Model{servedModel: model, rejectedModel: model, failedModel: model},
		Deadlines: map[string]time.Duration{"c": 15 * time.Second}, MaxBody: 1000}}, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); r.Kill() })
	return f
}

// TestGoldenResponses holds the header, the trailers and the body of the responses to requests of each kind.
func TestGoldenResponses(t *testing.T) {
	const (
		head         = ":status: 200; content-type: application/grpc"
		metadataName = "\x0a\x06served\x12\x011\x12\x012\x1a\x0atopazfront"
		unframed     = "grpc-message: the request ends without a whole message"
	)
	infer := func(model string) []byte { return framed(&inference.ModelInferRequest{ModelName: model}) }
	served := infer(servedModel)
	zipped, err := grpc.Compress(make([]byte, 100000))
	if err != nil {
		t.Fatal(err)
	}
	field := func(n, v string) []hpack.Field { return []hpack.Field{{Name: n, Value: v}} }
	for name, c := range map[string]struct {
		path                 string
		body                 []byte
		more                 []hpack.Field
		head, trailers, want string
	}{
		"served": {oip.Infer, served, nil, head + "; worker-head: h", "grpc-status: 0; worker-trailer: t", string(served)},
		"served, metadata": {oip.Infer, served, append(field("grpc-encoding", "identity"), hpack.Field{Name: "x-a", Value: "b"}),
			head + "; worker-head: h", "grpc-status: 0; worker-trailer: t; x-a: b", string(served)},
		"stream, two served": {oip.StreamInfer, append(append([]byte(nil), served...), served...), nil,
			head + "; worker-head: h", "grpc-status: 0", string(served) + string(served)},
		"stream, served and rejected": {oip.StreamInfer, append(append([]byte(nil), served...), infer(rejectedModel)...), nil,
			head + "; worker-head: h", "grpc-status: 14; grpc-message: refused; trying again does no harm; grpc-retry-pushback-ms: 70", string(served)},
		"rejected": {oip.Infer, infer(rejectedModel), nil, "",
			head + "; grpc-status: 14; grpc-message: refused; trying again does no harm; grpc-retry-pushback-ms: 70", ""},
		"failed": {oip.Infer, infer(failedModel), nil, "",
			head + "; grpc-status: 2; grpc-message: no answer; the call may have run; grpc-retry-pushback-ms: -1", ""},
		"deadline exceeded": {oip.Infer, infer(failedModel), field("grpc-timeout", "1n"), "",
			head + "; grpc-status: 4; grpc-message: deadline exceeded; the call may have run; grpc-retry-pushback-ms: -1", ""},
		"no message":        {oip.Infer, nil, nil, "", head + "; grpc-status: 13; " + unframed, ""},
		"half a message":    {oip.Infer, served[:6], nil, "", head + "; grpc-status: 13; " + unframed, ""},
		"stream cut":        {oip.StreamInfer, served[:6], nil, "", head + "; grpc-status: 13; grpc-message: the stream ends within a message", ""},
		"stream, no call":   {oip.StreamInfer, nil, nil, "", head + "; grpc-status: 0", ""},
		"two messages":      {oip.Infer, append(append([]byte(nil), served...), served...), nil, "", head + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: several request messages in a unary call", ""},
		"compressed flag":   {oip.Infer, []byte{5, 0, 0, 0, 0}, nil, "", head + "; grpc-status: 13; grpc-message: grpc: compressed flag is neither 0 nor 1", ""},
		"message too large": {oip.Infer, []byte{0, 0, 1, 0, 0}, nil, "", head + "; grpc-status: 8; grpc-message: grpc: message larger than allowed: 65536 bytes, at most 1000", ""},
		"not protobuf":      {oip.Infer, []byte{0, 0, 0, 0, 2, 0x0a, 0x7f}, nil, "", head + "; grpc-status: 3; grpc-message: oip: malformed request message: field 1: unexpected EOF", ""},
		"no model":          {oip.Infer, []byte{0, 0, 0, 0, 0}, nil, "", head + "; grpc-status: 3; grpc-message: model_name: is empty", ""},
		"unknown model":     {oip.Infer, infer("x"), nil, "", head + `; grpc-status: 5; grpc-message: model_name: "x" is not served here`, ""},
		"unknown encoding":  {oip.Infer, served, field("grpc-encoding", "brotli"), "", head + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: grpc-encoding \"brotli\" is not known here", ""},
		"no encoding":       {oip.Infer, append([]byte{1}, served[1:]...), nil, "", head + `; grpc-status: 3; grpc-message: grpc: compressed message with grpc-encoding ""`, ""},
		"gzip bomb":         {oip.Infer, zipped, field("grpc-encoding", "gzip"), "", head + "; grpc-status: 3; grpc-message: grpc: message larger than allowed: over 1000 bytes unpacked", ""},
		"malformed timeout": {oip.Infer, served, field("grpc-timeout", "soon"), "", head + "; grpc-status: 13; grpc-message: grpc: grpc-timeout is not up to eight digits and a unit", ""},
		"unknown path":      {"/x.Y/Z", served, nil, "", head + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: no call /x.Y/Z", ""},
		"first error wins":  {"/x.Y/Z", served, field("grpc-timeout", "soon"), "", head + "; grpc-status: 13; grpc-message: grpc: grpc-timeout is not up to eight digits and a unit", ""},
		"content type":      {oip.Infer, served, field("content-type", "application/json"), "", ":status: 415", ""},
		"live":              {oip.ServerLive, framed(&inference.ServerLiveRequest{}), nil, head, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"ready":             {oip.ServerReady, framed(&inference.ServerReadyRequest{}), nil, head, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"server metadata": {oip.ServerMetadata, framed(&inference.ServerMetadataRequest{}), nil, head, "grpc-status: 0",
			"\x00\x00\x00\x00\x24\x0a\x0atopazfront\x12\x04test\x1a\x10model_repository"},
		"model ready":     {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: servedModel}), nil, head, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"model not ready": {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: "x"}), nil, head, "grpc-status: 0", "\x00\x00\x00\x00\x00"},
		"model metadata": {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: servedModel}), nil, head, "grpc-status: 0",
			"\x00\x00\x00\x00\x1a" + metadataName},
		"metadata of an unknown model": {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: "x"}), nil, "",
			head + `; grpc-status: 5; grpc-message: model "x" is not served here`, ""},
		"model metadata, not protobuf": {oip.ModelMetadata, []byte{0, 0, 0, 0, 1, 0xff}, nil, "",
			head + "; grpc-status: 3; grpc-message: proto: cannot parse invalid wire-format data", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := say(t, listenScripted(t), c.path, c.body, c.more...)
			if text := fieldText(got.head); text != c.head {
				t.Errorf("header\ngot  %s\nwant %s", text, c.head)
			}
			if text := fieldText(got.trailers); text != c.trailers {
				t.Errorf("trailers\ngot  %s\nwant %s", text, c.trailers)
			}
			if got.body.String() != c.want {
				t.Errorf("body %q, want %q", got.body.String(), c.want)
			}
		})
	}
}

// TestGoldenShutdown holds the responses of a server that shuts down.
func TestGoldenShutdown(t *testing.T) {
	t.Run("router stopped", func(t *testing.T) {
		f := listenScripted(t)
		f.router.Kill()
		got := say(t, f, oip.Infer, framed(&inference.ModelInferRequest{ModelName: servedModel}))
		want := ":status: 200; content-type: application/grpc; grpc-status: 14; grpc-message: the gateway has stopped"
		if text := fieldText(got.trailers); text != want {
			t.Errorf("got  %s\nwant %s", text, want)
		}
	})
	t.Run("idle stream", func(t *testing.T) {
		f := listenScripted(t)
		got := &reader{done: make(chan error, 4)}
		conn, err := http2.Dial("tcp", f.Addr(), time.Second, http2.Config{}, got)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Open(got, grpc.Head("a", oip.StreamInfer, 15*time.Second), nil, false); err != nil {
			t.Fatal(err)
		}
		for f.Streams() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.Drain()
		select {
		case err := <-got.done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the stream does not end")
		}
		want := ":status: 200; content-type: application/grpc; grpc-status: 14; grpc-message: the gateway is shutting down"
		if text := fieldText(got.trailers); text != want {
			t.Errorf("got  %s\nwant %s", text, want)
		}
	})
}

// TestGoldenFinalAnswers holds the status and the trailers for each final answer of the router.
func TestGoldenFinalAnswers(t *testing.T) {
	attempt := func(result dispatch.Result, code grpc.Code, message string) *router.AttemptResult {
		return &router.AttemptResult{Result: result, Trailer: oip.Tail{Status: grpc.Status{Code: code, Message: message},
			Trailers: []hpack.Field{{Name: "worker-trailer", Value: "t"}}}}
	}
	const (
		rejected = "14 refused; trying again does no harm; grpc-retry-pushback-ms: "
		failed   = "2 no answer; the call may have run; grpc-retry-pushback-ms: -1"
		late     = "4 deadline exceeded; the call may have run; grpc-retry-pushback-ms: -1"
	)
	for name, c := range map[string]struct {
		answer router.FinalAnswer
		want   string
	}{
		"answered":                      {router.FinalAnswer{Attempt: attempt(dispatch.OK, grpc.OK, "")}, "0 ; worker-trailer: t"},
		"answered, lost":                {router.FinalAnswer{Attempt: attempt(dispatch.ConnectionReset, grpc.Unknown, "lost")}, "2 lost; worker-trailer: t"},
		"answered, unavailable":         {router.FinalAnswer{Attempt: attempt(dispatch.Errored, grpc.Unavailable, "away")}, "14 away; worker-trailer: t"},
		"answered, no trailer":          {router.FinalAnswer{Attempt: &router.AttemptResult{Result: dispatch.OK}}, "0 ; "},
		"answered, no attempt":          {router.FinalAnswer{}, "0 ; "},
		"rejected":                      {router.FinalAnswer{Kind: router.FinalRejected}, rejected + "0"},
		"rejected, retry after 1 ns":    {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 1}, rejected + "0"},
		"rejected, retry after 2.7 s":   {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 2700 * time.Millisecond}, rejected + "2700"},
		"rejected, negative":            {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: -time.Second}, rejected + "0"},
		"rejected, with an attempt":     {router.FinalAnswer{Kind: router.FinalRejected, Attempt: attempt(dispatch.Errored, grpc.Internal, "boom")}, rejected + "0"},
		"failed":                        {router.FinalAnswer{Kind: router.FinalFailed}, failed},
		"failed, deadline":              {router.FinalAnswer{Kind: router.FinalFailed, DeadlineExceeded: true}, late},
		"failed, deadline and an error": {router.FinalAnswer{Kind: router.FinalFailed, DeadlineExceeded: true, Attempt: attempt(dispatch.Errored, grpc.Internal, "boom")}, late},
		"failed, an error":              {router.FinalAnswer{Kind: router.FinalFailed, Attempt: attempt(dispatch.Errored, grpc.Internal, "boom")}, "13 boom; grpc-retry-pushback-ms: -1"},
		"failed, unavailable":           {router.FinalAnswer{Kind: router.FinalFailed, Attempt: attempt(dispatch.Errored, grpc.Unavailable, "away")}, failed},
		"failed, error without status":  {router.FinalAnswer{Kind: router.FinalFailed, Attempt: attempt(dispatch.Errored, grpc.OK, "")}, failed},
		"failed, no trailer":            {router.FinalAnswer{Kind: router.FinalFailed, Attempt: &router.AttemptResult{Result: dispatch.Errored}}, failed},
		"failed, connection reset":      {router.FinalAnswer{Kind: router.FinalFailed, Attempt: attempt(dispatch.ConnectionReset, grpc.Internal, "boom")}, failed},
	} {
		t.Run(name, func(t *testing.T) {
			status, trailers := Told(c.answer)
			if got := fmt.Sprintf("%d %s; %s", status.Code, status.Message, fieldText(trailers)); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
