package grpcupstream

import (
	"errors"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// What the wire shows of an attempt's end, and what that proves. "Never ran" is claimed only where a
// specification or the worker itself promises it; in doubt a call may have run.
//
//	evidence                                      result         never ran   source
//	no connection within the time                 NoConnection   yes         nothing was sent
//	no stream free on any connection              NoConnection   yes         nothing was sent
//	RST_STREAM with REFUSED_STREAM                Refused        yes         RFC 9113, section 8.7
//	stream above the last one of GOAWAY           Refused        yes         RFC 9113, section 6.8
//	RST_STREAM with another code                  Reset          no          RFC 9113, section 5.4.2
//	connection lost, or a connection error        Reset          no          RFC 9113, section 5.4.1
//	this end cancelled                            Cancelled      no          the worker may have been faster
//	trailers only, worker-admission full          Refused        yes         the worker's promise (package oip)
//	trailers only, worker-admission draining      Refused        yes         the same; the worker also drains
//	trailers only, worker-admission missing       Missed         yes         the same
//	status OK, a message where one is owed        OK             ran         gRPC over HTTP/2, "Responses"
//	status OK, none, several or a cut one         Errored        no          the answer is broken
//	a status about the request itself             OK             ran         it is the worker's answer to it
//	any other status                              Errored        no
//	no trailers, no status, or not gRPC           Errored        no          gRPC over HTTP/2, "HTTP2 to gRPC"

// ofStream judges a stream that ended without a response.
func ofStream(err error) verdict {
	var se *http2.StreamError
	if !errors.As(err, &se) {
		return verdict{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unavailable, Message: "stream ended early"}}
	}
	switch {
	case se.Unprocessed:
		return verdict{dispatch.Rejected, grpc.Status{Code: grpc.Unavailable, Message: "worker refused the stream"}}
	case se.ConnLost:
		return verdict{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unknown, Message: "connection to the worker lost"}}
	default:
		return verdict{dispatch.ConnectionReset, grpc.Status{Code: grpc.Unknown, Message: "worker's stream ended: " + se.Error()}}
	}
}

// verdict is a result with the status that a client would be told.
type verdict struct {
	result dispatch.Result
	status grpc.Status
}

// answerCodes are the statuses about the request itself: another worker would say the same.
func answerCode(c grpc.Code) bool {
	switch c {
	case grpc.InvalidArgument, grpc.Unauthenticated, grpc.PermissionDenied, grpc.OutOfRange,
		grpc.FailedPrecondition, grpc.AlreadyExists, grpc.NotFound, grpc.Unimplemented:
		return true
	}
	return false
}

// ofTrailers judges a response that came to its end. messages counts the whole messages before it, broken
// tells of a cut one.
func ofTrailers(trailers []hpack.Field, messages int, broken, streamed bool) (got verdict, drains bool) {
	if _, ok := grpc.FieldValue(trailers, "grpc-status"); !ok {
		return verdict{dispatch.Errored, grpc.Status{Code: grpc.Unknown, Message: "worker sent no status"}}, false
	}
	st := grpc.StatusFromTrailers(trailers)
	admission, _ := grpc.FieldValue(trailers, oip.AdmissionField)
	switch {
	case st.Code == grpc.OK && (broken || !streamed && messages != 1):
		return verdict{dispatch.Errored, grpc.Status{Code: grpc.Internal, Message: "worker's answer is broken"}}, false
	case st.Code == grpc.OK:
		return verdict{dispatch.OK, st}, false
	case messages == 0 && !broken && admission == oip.AdmissionMissing:
		return verdict{dispatch.NotResident, st}, false
	case messages == 0 && !broken && admission == oip.AdmissionFull:
		return verdict{dispatch.Rejected, st}, false
	case messages == 0 && !broken && admission == oip.AdmissionDraining:
		return verdict{dispatch.Rejected, st}, true
	case answerCode(st.Code) && !broken:
		return verdict{dispatch.OK, st}, false
	}
	return verdict{dispatch.Errored, st}, false
}
