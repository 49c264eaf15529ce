package grpcserver

import (
	"strconv"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// minTimeout replaces a grpc-timeout that is 0, malformed or used up, because a timeout of 0 means no timeout.
const minTimeout = time.Nanosecond

// parseHeader sets the stream's fields from the request's header. rejection is the status for the first field that
// can't be served, or nil. isGRPC is false if the content type is not gRPC's; the rest of the header is then not
// parsed.
func (s *stream) parseHeader(fields []hpack.Field) (rejection *grpc.Status, isGRPC bool) {
	reject := func(code grpc.Code, message string) {
		if rejection == nil {
			rejection = &grpc.Status{Code: code, Message: message}
		}
	}
	s.path, _ = grpc.FieldValue(fields, ":path")
	for _, field := range fields {
		switch field.Name {
		case ":method":
			if field.Value != "POST" {
				reject(grpc.Unimplemented, "method "+field.Value)
			}
		case "content-type":
			if !grpc.IsContentType(field.Value) {
				return nil, false
			}
		case "grpc-timeout":
			timeout, err := grpc.ParseTimeout(field.Value)
			if err != nil {
				reject(grpc.Internal, err.Error())
			}
			s.timeout = max(timeout, minTimeout)
		case "grpc-encoding":
			s.encoding = field.Value
			if !grpc.IsKnownEncoding(field.Value) {
				reject(grpc.Unimplemented, "grpc-encoding "+strconv.Quote(field.Value)+" is not known here")
			}
		case "grpc-accept-encoding":
			s.acceptEncoding = field.Value
		default:
			if !grpc.IsReservedHeader(field.Name) {
				s.metadata = append(s.metadata, field)
			}
		}
	}
	if !isImplemented(s.path) {
		reject(grpc.Unimplemented, "no call "+s.path)
	}
	return rejection, true
}

// isImplemented reports whether path names a method of the service that this server implements.
func isImplemented(path string) bool {
	switch path {
	case oip.Infer, oip.StreamInfer, oip.ServerLive, oip.ServerReady, oip.ModelReady, oip.ServerMetadata, oip.ModelMetadata:
		return true
	}
	return false
}
