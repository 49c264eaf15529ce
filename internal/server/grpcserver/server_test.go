package grpcserver

import (
	"slices"
	"testing"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

func TestRequestStatus(t *testing.T) {
	s := startServer(t)
	request := inferRequest(rejectedModel)
	for name, c := range map[string]struct {
		path    string
		request []byte
		fields  []hpack.Field
		code    grpc.Code
	}{
		"rejected by the dispatcher":   {oip.Infer, request, nil, grpc.Unavailable},
		"stream, rejected":             {oip.StreamInfer, request, nil, grpc.Unavailable},
		"stream without a request":     {oip.StreamInfer, nil, nil, grpc.OK},
		"no message":                   {oip.Infer, nil, nil, grpc.Internal},
		"half a message":               {oip.Infer, request[:6], nil, grpc.Internal},
		"half a message on a stream":   {oip.StreamInfer, request[:6], nil, grpc.Internal},
		"two messages":                 {oip.Infer, slices.Concat(request, request), nil, grpc.Unimplemented},
		"unknown compressed flag":      {oip.Infer, []byte{5, 0, 0, 0, 0}, nil, grpc.Internal},
		"too large":                    {oip.Infer, []byte{0, 0, 1, 0, 0}, nil, grpc.ResourceExhausted},
		"too large on a stream":        {oip.StreamInfer, []byte{0, 0, 1, 0, 0}, nil, grpc.ResourceExhausted},
		"not protobuf":                 {oip.Infer, []byte{0, 0, 0, 0, 2, 0x0a, 0x7f}, nil, grpc.InvalidArgument},
		"no model":                     {oip.Infer, []byte{0, 0, 0, 0, 0}, nil, grpc.InvalidArgument},
		"unknown model":                {oip.Infer, inferRequest("x"), nil, grpc.NotFound},
		"unknown encoding":             {oip.Infer, request, requestField("grpc-encoding", "brotli"), grpc.Unimplemented},
		"compressed, no encoding":      {oip.Infer, append([]byte{1}, request[1:]...), nil, grpc.InvalidArgument},
		"gzip bomb":                    {oip.Infer, gzipBomb(t), requestField("grpc-encoding", "gzip"), grpc.InvalidArgument},
		"malformed timeout":            {oip.Infer, request, requestField("grpc-timeout", "soon"), grpc.Internal},
		"unknown method":               {"/inference.GRPCInferenceService/Other", request, nil, grpc.Unimplemented},
		"unknown service":              {"/x.Y/Z", request, nil, grpc.Unimplemented},
		"model readiness":              {oip.ModelReady, framed(&inference.ModelReadyRequest{Name: rejectedModel}), nil, grpc.OK},
		"model metadata":               {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: rejectedModel}), nil, grpc.OK},
		"metadata of an unknown model": {oip.ModelMetadata, framed(&inference.ModelMetadataRequest{Name: "x"}), nil, grpc.NotFound},
		"model metadata, not protobuf": {oip.ModelMetadata, []byte{0, 0, 0, 0, 1, 0xff}, nil, grpc.InvalidArgument},
		"server metadata":              {oip.ServerMetadata, framed(&inference.ServerMetadataRequest{}), nil, grpc.OK},
		"server readiness":             {oip.ServerReady, framed(&inference.ServerReadyRequest{}), nil, grpc.OK},
	} {
		t.Run(name, func(t *testing.T) {
			response := roundTrip(t, s, c.path, c.request, c.fields...)
			if status := grpc.StatusFromTrailers(response.trailers); status.Code != c.code {
				t.Errorf("%v, want %v", status, c.code)
			}
			if v, _ := grpc.FieldValue(response.trailers, "grpc-accept-encoding"); name == "unknown encoding" && v != grpc.AcceptedEncodings {
				t.Errorf("grpc-accept-encoding %q", v)
			}
			if v, _ := grpc.FieldValue(response.trailers, retryPushbackField); name == "rejected by the dispatcher" && v != "70" {
				t.Errorf("%s %q", retryPushbackField, v)
			}
		})
	}
	t.Run("content type is not gRPC", func(t *testing.T) {
		response := roundTrip(t, s, oip.Infer, request, requestField("content-type", "application/json")...)
		if v, _ := grpc.FieldValue(response.trailers, ":status"); v != "415" {
			t.Errorf("HTTP status %q", v)
		}
	})
	if n := s.router.Stats().CallsInFlight; n != 0 {
		t.Errorf("%d calls are still open", n)
	}
}
