// Package grpc holds what gRPC adds to HTTP/2: length-prefixed messages, timeouts, status and metadata, as
// its public specification ("gRPC over HTTP2") has them. It knows no connection and no message type.
package grpc

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Code is a gRPC status code.
type Code uint32

// The status codes.
const (
	OK Code = iota
	Canceled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
)

var codeNames = [...]string{"OK", "CANCELLED", "UNKNOWN", "INVALID_ARGUMENT", "DEADLINE_EXCEEDED", "NOT_FOUND",
	"ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION", "ABORTED",
	"OUT_OF_RANGE", "UNIMPLEMENTED", "INTERNAL", "UNAVAILABLE", "DATA_LOSS", "UNAUTHENTICATED"}

func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "CODE_" + strconv.Itoa(int(c))
}

// Status is how a call ended.
type Status struct {
	Code    Code
	Message string
}

func (s Status) Error() string { return s.Code.String() + ": " + s.Message }

// Head returns the headers that begin a request; left is the time until the caller gives up.
func RequestHeaders(authority, path string, timeout time.Duration) []hpack.Field {
	return []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: ":authority", Value: authority}, {Name: "te", Value: "trailers"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "grpc-timeout", Value: FormatTimeout(timeout)}}
}

// Get returns the value of the first field with a name.
func FieldValue(fields []hpack.Field, name string) (string, bool) {
	for _, f := range fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// StatusOf reads grpc-status and grpc-message of trailers. Trailers without a status are an UNKNOWN error.
func StatusFromTrailers(fields []hpack.Field) Status {
	v, ok := FieldValue(fields, "grpc-status")
	if !ok {
		return Status{Unknown, "trailers without grpc-status"}
	}
	code, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return Status{Unknown, fmt.Sprintf("malformed grpc-status %q", v)}
	}
	m, _ := FieldValue(fields, "grpc-message")
	return Status{Code(code), PercentDecode(m)}
}

// StatusOfHTTP gives the code for a response that is not gRPC, by the specification's table.
func StatusFromHTTP(status string) Status {
	s := Status{Unknown, "HTTP status " + status}
	switch status {
	case "400":
		s.Code = Internal
	case "401":
		s.Code = Unauthenticated
	case "403":
		s.Code = PermissionDenied
	case "404":
		s.Code = Unimplemented
	case "429", "502", "503", "504":
		s.Code = Unavailable
	}
	return s
}

// Trailer returns the fields that tell a status.
func (s Status) Trailers() []hpack.Field {
	f := []hpack.Field{{Name: "grpc-status", Value: formatCode(s.Code)}}
	if s.Message != "" {
		f = append(f, hpack.Field{Name: "grpc-message", Value: PercentEncode(s.Message)})
	}
	return f
}

func formatCode(c Code) string {
	if c < 100 {
		return strconv.Itoa(int(c)) // small numbers are not allocated
	}
	return strconv.FormatUint(uint64(c), 10)
}

// EncodeText percent-encodes a message: all but printable ASCII, and the percent sign itself.
func PercentEncode(s string) string {
	plain := func(b byte) bool { return b >= ' ' && b <= '~' && b != '%' }
	i := 0
	for i < len(s) && plain(s[i]) {
		i++
	}
	if i == len(s) {
		return s
	}
	const hex = "0123456789ABCDEF"
	out := append(make([]byte, 0, len(s)+16), s[:i]...)
	for ; i < len(s); i++ {
		if b := s[i]; plain(b) {
			out = append(out, b)
		} else {
			out = append(out, '%', hex[b>>4], hex[b&15])
		}
	}
	return string(out)
}

// DecodeText undoes EncodeText. What is not validly encoded stays as it is, as the specification asks.
func PercentDecode(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if v, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				out = append(out, byte(v))
				i += 2
				continue
			}
		}
		out = append(out, s[i])
	}
	return string(out)
}

var timeoutUnits = map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond,
	'u': time.Microsecond, 'n': time.Nanosecond}

// ErrTimeout tells of a malformed grpc-timeout.
var ErrMalformedTimeout = errors.New("grpc: grpc-timeout is not up to eight digits and a unit")

// ParseTimeout reads a grpc-timeout: up to eight digits and a unit. What does not fit a Duration is the longest.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > 9 {
		return 0, ErrMalformedTimeout
	}
	unit, ok := timeoutUnits[s[len(s)-1]]
	n := int64(0)
	for _, b := range []byte(s[:len(s)-1]) {
		if b < '0' || b > '9' {
			return 0, ErrMalformedTimeout
		}
		n = n*10 + int64(b-'0')
	}
	if !ok {
		return 0, ErrMalformedTimeout
	}
	if n > int64(1<<63-1)/int64(unit) {
		return 1<<63 - 1, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout writes a grpc-timeout, rounded down: a worker must not think that it has longer than the
// client.
func FormatTimeout(d time.Duration) string {
	d = max(d, 0)
	for _, u := range []struct {
		unit time.Duration
		name string
	}{{time.Nanosecond, "n"}, {time.Microsecond, "u"}, {time.Millisecond, "m"}, {time.Second, "S"},
		{time.Minute, "M"}} {
		if n := d / u.unit; n < 1e8 {
			return strconv.FormatInt(int64(n), 10) + u.name
		}
	}
	return strconv.FormatInt(min(int64(d/time.Hour), 99999999), 10) + "H"
}

// DecodeBin reads the value of a -bin field: base64, with or without padding.
func DecodeBinaryHeader(v string) ([]byte, error) {
	if len(v)%4 == 0 {
		return base64.StdEncoding.DecodeString(v)
	}
	return base64.RawStdEncoding.DecodeString(v)
}

// EncodeBin writes the value of a -bin field.
func EncodeBinaryHeader(b []byte) string { return base64.RawStdEncoding.EncodeToString(b) }

// IsContent tells whether a content-type is gRPC's with a message format that passes through here.
func IsContentType(v string) bool {
	rest, ok := strings.CutPrefix(v, "application/grpc")
	return ok && (rest == "" || rest == "+proto" || strings.HasPrefix(rest, ";"))
}

// Reserved tells whether metadata with this name is the protocol's own, so that it is not passed along.
func IsReservedHeader(name string) bool {
	switch name {
	case "te", "content-type", "user-agent", "grpc-timeout", "grpc-encoding", "grpc-accept-encoding",
		"grpc-status", "grpc-message", "grpc-message-type":
		return true
	}
	return strings.HasPrefix(name, ":")
}
