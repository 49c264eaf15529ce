package grpc

import (
	"encoding/base64"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

const contentType = "application/grpc"

// RequestHeaders returns the headers of a request. timeout is the remaining time until the call's deadline.
func RequestHeaders(authority, path string, timeout time.Duration) []hpack.Field {
	return []hpack.Field{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: path},
		{Name: ":authority", Value: authority},
		{Name: "te", Value: "trailers"},
		{Name: "content-type", Value: contentType},
		{Name: "grpc-timeout", Value: FormatTimeout(timeout)},
	}
}

// FieldValue returns the value of the first field with the given name.
func FieldValue(fields []hpack.Field, name string) (string, bool) {
	for _, f := range fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// DecodeBinaryHeader decodes the value of a field whose name ends in -bin: base64, with or without padding.
func DecodeBinaryHeader(v string) ([]byte, error) {
	if len(v)%4 == 0 {
		return base64.StdEncoding.DecodeString(v)
	}
	return base64.RawStdEncoding.DecodeString(v)
}

// EncodeBinaryHeader encodes the value of a field whose name ends in -bin, as base64 without padding.
func EncodeBinaryHeader(b []byte) string { return base64.RawStdEncoding.EncodeToString(b) }

// IsContentType reports whether a content-type is that of gRPC with Protocol Buffers as the message format, the only
// one that is forwarded.
func IsContentType(v string) bool {
	format, ok := strings.CutPrefix(v, contentType)
	return ok && (format == "" || format == "+proto" || strings.HasPrefix(format, ";"))
}

// IsReservedHeader reports whether a field belongs to the protocol and not to the call's metadata. Reserved fields are
// not forwarded.
func IsReservedHeader(name string) bool {
	switch name {
	case "te", "content-type", "user-agent", "grpc-timeout", "grpc-encoding", "grpc-accept-encoding",
		statusHeader, messageHeader, "grpc-message-type":
		return true
	}
	return strings.HasPrefix(name, ":")
}
