package grpcserver

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// fieldText formats fields as "name: value; name: value". It normalizes the spaces in error texts of the protobuf
// library, which varies them on purpose.
func fieldText(fields []hpack.Field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.Name+": "+strings.ReplaceAll(f.Value, "%C2%A0", " "))
	}
	return strings.Join(list, "; ")
}

// okHeader is the beginning of each response that has a gRPC status.
const okHeader = ":status: 200; content-type: application/grpc"

// goldenResponse is a request and the complete response expected for it. For a response without messages
// ("Trailers-Only" in gRPC over HTTP/2), header is empty and trailers holds the one header block, which also ends the
// stream.
type goldenResponse struct {
	path             string
	request          []byte
	fields           []hpack.Field
	header, trailers string
	body             string
}

// checkResponses sends each request to a new server and compares the response.
func checkResponses(t *testing.T, responses map[string]goldenResponse) {
	t.Helper()
	for name, want := range responses {
		t.Run(name, func(t *testing.T) {
			got := roundTrip(t, startServer(t), want.path, want.request, want.fields...)
			if text := fieldText(got.header); text != want.header {
				t.Errorf("header\ngot  %s\nwant %s", text, want.header)
			}
			if text := fieldText(got.trailers); text != want.trailers {
				t.Errorf("trailers\ngot  %s\nwant %s", text, want.trailers)
			}
			if got.body.String() != want.body {
				t.Errorf("body %q, want %q", got.body.String(), want.body)
			}
		})
	}
}

// TestGoldenFinalResponses compares the responses to calls that the router accepted, and to a stream without a call.
func TestGoldenFinalResponses(t *testing.T) {
	served := inferRequest(servedModel)
	checkResponses(t, map[string]goldenResponse{
		"served": {oip.Infer, served, nil, okHeader + "; worker-head: h", "grpc-status: 0; worker-trailer: t", string(served)},
		"served, metadata": {oip.Infer, served, append(requestField("grpc-encoding", "identity"), hpack.Field{Name: "x-a", Value: "b"}),
			okHeader + "; worker-head: h", "grpc-status: 0; worker-trailer: t; x-a: b", string(served)},
		"stream, two served": {oip.StreamInfer, slices.Concat(served, served), nil,
			okHeader + "; worker-head: h", "grpc-status: 0", string(served) + string(served)},
		"stream, served and rejected": {oip.StreamInfer, slices.Concat(served, inferRequest(rejectedModel)), nil,
			okHeader + "; worker-head: h", "grpc-status: 14; grpc-message: refused; trying again does no harm; grpc-retry-pushback-ms: 70", string(served)},
		"rejected": {oip.Infer, inferRequest(rejectedModel), nil, "",
			okHeader + "; grpc-status: 14; grpc-message: refused; trying again does no harm; grpc-retry-pushback-ms: 70", ""},
		"failed": {oip.Infer, inferRequest(failedModel), nil, "",
			okHeader + "; grpc-status: 2; grpc-message: no answer; the call may have run; grpc-retry-pushback-ms: -1", ""},
		"deadline exceeded": {oip.Infer, inferRequest(failedModel), requestField("grpc-timeout", "1n"), "",
			okHeader + "; grpc-status: 4; grpc-message: deadline exceeded; the call may have run; grpc-retry-pushback-ms: -1", ""},
		"stream, no call": {oip.StreamInfer, nil, nil, "", okHeader + "; grpc-status: 0", ""},
	})
}

// TestGoldenBadRequests compares the responses to requests that can't be served.
func TestGoldenBadRequests(t *testing.T) {
	const unframed = "grpc-message: the request ends without a whole message"
	served := inferRequest(servedModel)
	checkResponses(t, map[string]goldenResponse{
		"no message":        {oip.Infer, nil, nil, "", okHeader + "; grpc-status: 13; " + unframed, ""},
		"half a message":    {oip.Infer, served[:6], nil, "", okHeader + "; grpc-status: 13; " + unframed, ""},
		"stream cut":        {oip.StreamInfer, served[:6], nil, "", okHeader + "; grpc-status: 13; grpc-message: the stream ends within a message", ""},
		"two messages":      {oip.Infer, slices.Concat(served, served), nil, "", okHeader + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: several request messages in a unary call", ""},
		"compressed flag":   {oip.Infer, []byte{5, 0, 0, 0, 0}, nil, "", okHeader + "; grpc-status: 13; grpc-message: grpc: compressed flag is neither 0 nor 1", ""},
		"message too large": {oip.Infer, []byte{0, 0, 1, 0, 0}, nil, "", okHeader + "; grpc-status: 8; grpc-message: grpc: message larger than allowed: 65536 bytes, at most 1000", ""},
		"not protobuf":      {oip.Infer, []byte{0, 0, 0, 0, 2, 0x0a, 0x7f}, nil, "", okHeader + "; grpc-status: 3; grpc-message: oip: malformed request message: field 1: unexpected EOF", ""},
		"no model":          {oip.Infer, []byte{0, 0, 0, 0, 0}, nil, "", okHeader + "; grpc-status: 3; grpc-message: model_name: is empty", ""},
		"unknown model":     {oip.Infer, inferRequest("x"), nil, "", okHeader + `; grpc-status: 5; grpc-message: model_name: "x" is not served here`, ""},
		"unknown encoding":  {oip.Infer, served, requestField("grpc-encoding", "brotli"), "", okHeader + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: grpc-encoding \"brotli\" is not known here", ""},
		"no encoding":       {oip.Infer, append([]byte{1}, served[1:]...), nil, "", okHeader + `; grpc-status: 3; grpc-message: grpc: compressed message with grpc-encoding ""`, ""},
		"gzip bomb":         {oip.Infer, gzipBomb(t), requestField("grpc-encoding", "gzip"), "", okHeader + "; grpc-status: 3; grpc-message: grpc: message larger than allowed: over 1000 bytes unpacked", ""},
		"malformed timeout": {oip.Infer, served, requestField("grpc-timeout", "soon"), "", okHeader + "; grpc-status: 13; grpc-message: grpc: grpc-timeout is not up to eight digits and a unit", ""},
		"unknown path":      {"/x.Y/Z", served, nil, "", okHeader + "; grpc-accept-encoding: identity,gzip; grpc-status: 12; grpc-message: no call /x.Y/Z", ""},
		"first error wins":  {"/x.Y/Z", served, requestField("grpc-timeout", "soon"), "", okHeader + "; grpc-status: 13; grpc-message: grpc: grpc-timeout is not up to eight digits and a unit", ""},
		"content type":      {oip.Infer, served, requestField("content-type", "application/json"), "", ":status: 415", ""},
	})
}

// TestGoldenGatewayCalls compares the responses to calls about the gateway itself.
func TestGoldenGatewayCalls(t *testing.T) {
	const metadata = "\x0a\x06served\x12\x011\x12\x012\x1a\x0atopazfront"
	checkResponses(t, map[string]goldenResponse{
		"live":  {oip.ServerLive, framed(&inference.ServerLiveRequest{}), nil, okHeader, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"ready": {oip.ServerReady, framed(&inference.ServerReadyRequest{}), nil, okHeader, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"server metadata": {oip.ServerMetadata, framed(&inference.ServerMetadataRequest{}), nil, okHeader, "grpc-status: 0",
			"\x00\x00\x00\x00\x24\x0a\x0atopazfront\x12\x04test\x1a\x10model_repository"},
		"model ready":     {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: servedModel}), nil, okHeader, "grpc-status: 0", "\x00\x00\x00\x00\x02\x08\x01"},
		"model not ready": {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: "x"}), nil, okHeader, "grpc-status: 0", "\x00\x00\x00\x00\x00"},
		"model metadata": {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: servedModel}), nil, okHeader, "grpc-status: 0",
			"\x00\x00\x00\x00\x1a" + metadata},
		"metadata of an unknown model": {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: "x"}), nil, "",
			okHeader + `; grpc-status: 5; grpc-message: model "x" is not served here`, ""},
		"model metadata, not protobuf": {oip.ModelMetadata, []byte{0, 0, 0, 0, 1, 0xff}, nil, "",
			okHeader + "; grpc-status: 3; grpc-message: proto: cannot parse invalid wire-format data", ""},
	})
}

// TestGoldenShutdown compares the responses of a server that is shutting down.
func TestGoldenShutdown(t *testing.T) {
	t.Run("router stopped", func(t *testing.T) {
		s := startServer(t)
		s.router.Kill()
		got := roundTrip(t, s, oip.Infer, inferRequest(servedModel))
		want := okHeader + "; grpc-status: 14; grpc-message: the gateway has stopped"
		if text := fieldText(got.trailers); text != want {
			t.Errorf("got  %s\nwant %s", text, want)
		}
	})
	t.Run("idle stream", func(t *testing.T) {
		s := startServer(t)
		got := openStream(t, s, requestHeader(oip.StreamInfer), nil, false)
		waitForStream(t, s)
		s.Drain()
		got.wait(t)
		want := okHeader + "; grpc-status: 14; grpc-message: the gateway is shutting down"
		if text := fieldText(got.trailers); text != want {
			t.Errorf("got  %s\nwant %s", text, want)
		}
	})
}

// TestGoldenFinalAnswers compares the status and the trailers for each kind of final answer of the router.
func TestGoldenFinalAnswers(t *testing.T) {
	attempt := func(result dispatch.Result, code grpc.Code, message string) *router.AttemptResult {
		return &router.AttemptResult{Result: result, Trailer: oip.Trailer{Status: grpc.Status{Code: code, Message: message},
			Metadata: []hpack.Field{{Name: "worker-trailer", Value: "t"}}}}
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
			status, trailers := FinalStatus(c.answer)
			if got := fmt.Sprintf("%d %s; %s", status.Code, status.Message, fieldText(trailers)); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
