package grpcupstream

import (
	"errors"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// The table lists the evidence for how an attempt ended and the result derived from it. "Never ran" is yes only where a
// specification or the worker itself guarantees that the call did not run; otherwise the call may have run.
//
//	evidence                                      result           never ran   source
//	no connection within the timeout              ConnectFailed    yes         nothing was sent
//	no connection due to a fault of this host     NotSent          yes         nothing was sent (upstream/errno.go)
//	no stream free on any connection              ConnectFailed    yes         nothing was sent
//	RST_STREAM with REFUSED_STREAM                Rejected         yes         RFC 9113, section 8.7
//	stream above the last one of GOAWAY           Rejected         yes         RFC 9113, section 6.8
//	RST_STREAM with another code                  ConnectionReset  no          RFC 9113, section 5.4.2
//	connection lost, or a connection error        ConnectionReset  no          RFC 9113, section 5.4.1
//	cancelled by this router                      Cancelled        no          the call may have run before that
//	trailers only, worker-admission full          Rejected         yes         guaranteed by the worker (package oip)
//	trailers only, worker-admission draining      Rejected         yes         the same; the worker also drains
//	trailers only, worker-admission missing       NotResident      yes         the same
//	status OK, complete messages (one if unary)   OK               ran         gRPC over HTTP/2, "Responses"
//	status OK, none, several or a truncated one   Errored          no          the response is malformed
//	a status about the request itself             OK               ran         it is the worker's response
//	any other status                              Errored          no
//	no trailers, no status, or not gRPC           Errored          no          gRPC over HTTP/2, "HTTP2 to gRPC"

// outcome is the result of a call, and the status to send to its client if that result ends the call.
type outcome struct {
	result dispatch.Result
	status grpc.Status
}

// classifyStreamError returns the outcome of a stream that ended without a complete response.
func classifyStreamError(err error) outcome {
	var streamErr *http2.StreamError
	if !errors.As(err, &streamErr) {
		return outcome{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unavailable, Message: "stream ended early"}}
	}
	switch {
	case streamErr.Unprocessed:
		return outcome{dispatch.Rejected, grpc.Status{Code: grpc.Unavailable, Message: "worker refused the stream"}}
	case streamErr.ConnLost:
		return outcome{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unknown, Message: "connection to the worker lost"}}
	default:
		return outcome{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unknown, Message: "worker's stream ended: " + streamErr.Error()}}
	}
}

// isRequestError reports whether a status is about the request itself, so that any other worker would return the same.
func isRequestError(code grpc.Code) bool {
	switch code {
	case grpc.InvalidArgument, grpc.Unauthenticated, grpc.PermissionDenied, grpc.OutOfRange,
		grpc.FailedPrecondition, grpc.AlreadyExists, grpc.NotFound, grpc.Unimplemented:
		return true
	case grpc.OK:
		return false // no error
	case grpc.Canceled, grpc.Unknown, grpc.DeadlineExceeded, grpc.ResourceExhausted, grpc.Aborted, grpc.Internal,
		grpc.Unavailable, grpc.DataLoss:
		return false // concerns this worker or this attempt
	}
	return false
}

// classifyTrailers returns the outcome of a response that ended with trailers. messages is the number of complete
// messages before them, and truncated reports whether an incomplete message followed those.
func classifyTrailers(trailers []hpack.Field, messages int, truncated, streamed bool) (
	callOutcome outcome, workerDraining bool,
) {
	if _, ok := grpc.FieldValue(trailers, "grpc-status"); !ok {
		return outcome{dispatch.Errored, grpc.Status{Code: grpc.Unknown, Message: "worker sent no status"}}, false
	}
	status := grpc.StatusFromTrailers(trailers)
	admission, _ := grpc.FieldValue(trailers, oip.AdmissionField)
	switch {
	case status.Code == grpc.OK && (truncated || !streamed && messages != 1):
		return outcome{dispatch.Errored, grpc.Status{Code: grpc.Internal, Message: "worker's answer is broken"}}, false
	case status.Code == grpc.OK:
		return outcome{dispatch.OK, status}, false
	case messages == 0 && !truncated && admission == oip.AdmissionNotResident:
		return outcome{dispatch.NotResident, status}, false
	case messages == 0 && !truncated && admission == oip.AdmissionFull:
		return outcome{dispatch.Rejected, status}, false
	case messages == 0 && !truncated && admission == oip.AdmissionDraining:
		return outcome{dispatch.Rejected, status}, true
	case isRequestError(status.Code) && !truncated:
		return outcome{dispatch.OK, status}, false
	}
	return outcome{dispatch.Errored, status}, false
}
