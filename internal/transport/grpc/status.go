package grpc

import (
	"fmt"
	"strconv"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// Names of the trailers that carry a status.
const (
	statusHeader  = "grpc-status"
	messageHeader = "grpc-message"
)

// Code is a gRPC status code.
type Code uint32

// The gRPC status codes.
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

// String returns the code's name in the specification.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "CODE_" + strconv.Itoa(int(c))
}

// Status is the outcome of a call. It implements error for callers that treat every code but OK as an error.
type Status struct { //nolint:errname // a status is the protocol's term and may be OK, as in grpc-go's package status
	Code    Code
	Message string
}

func (s Status) Error() string { return s.Code.String() + ": " + s.Message }

// StatusFromTrailers returns the status in grpc-status and grpc-message. Its code is Unknown if grpc-status is missing
// or malformed.
func StatusFromTrailers(fields []hpack.Field) Status {
	v, ok := FieldValue(fields, statusHeader)
	if !ok {
		return Status{Unknown, "trailers without grpc-status"}
	}
	code, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return Status{Unknown, fmt.Sprintf("malformed grpc-status %q", v)}
	}
	message, _ := FieldValue(fields, messageHeader)
	return Status{Code(code), PercentDecode(message)}
}

// StatusFromHTTP returns the status for a response that is not gRPC, by the specification's "HTTP to gRPC Status Code
// Mapping".
func StatusFromHTTP(httpStatus string) Status {
	s := Status{Unknown, "HTTP status " + httpStatus}
	switch httpStatus {
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

// Trailers returns the trailers that carry the status.
func (s Status) Trailers() []hpack.Field {
	fields := []hpack.Field{{Name: statusHeader, Value: formatCode(s.Code)}}
	if s.Message != "" {
		fields = append(fields, hpack.Field{Name: messageHeader, Value: PercentEncode(s.Message)})
	}
	return fields
}

func formatCode(c Code) string {
	if c < 100 {
		return strconv.Itoa(int(c)) // does not allocate for small numbers
	}
	return strconv.FormatUint(uint64(c), 10)
}
