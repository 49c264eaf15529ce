package grpcserver

import (
	"strconv"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

const (
	// retryPushbackField is the trailer that tells a client how many milliseconds to wait before a retry (gRFC A6).
	retryPushbackField = "grpc-retry-pushback-ms"
	// noRetry is the value of that trailer that disables the client's automatic retries.
	noRetry = "-1"
)

// FinalStatus returns the gRPC status and the trailers for a final answer of the router.
func FinalStatus(answer router.FinalAnswer) (grpc.Status, []hpack.Field) {
	switch answer.Kind {
	case router.FinalAnswered:
		trailer := trailerOf(answer.Attempt)
		return trailer.Status, trailer.Metadata
	case router.FinalRejected:
		retryAfter := max(answer.RetryAfter, 0).Milliseconds()
		return grpc.Status{Code: grpc.Unavailable, Message: "refused; trying again does no harm"},
			[]hpack.Field{{Name: retryPushbackField, Value: strconv.FormatInt(retryAfter, 10)}}
	case router.FinalFailed: // handled below
	}
	return failureStatus(answer), []hpack.Field{{Name: retryPushbackField, Value: noRetry}}
}

// failureStatus returns the status of a failed call. The worker's error status is forwarded, except Unavailable: it
// does not say why the call failed, and it would invite a retry of a call that may have run.
func failureStatus(answer router.FinalAnswer) grpc.Status {
	if answer.DeadlineExceeded {
		return grpc.Status{Code: grpc.DeadlineExceeded, Message: "deadline exceeded; the call may have run"}
	}
	if answer.Attempt != nil && answer.Attempt.Result == dispatch.Errored {
		if status := trailerOf(answer.Attempt).Status; status.Code != grpc.Unavailable && status.Code != grpc.OK {
			return status
		}
	}
	return grpc.Status{Code: grpc.Unknown, Message: "no answer; the call may have run"}
}

// trailerOf returns the trailer of an attempt's response, or the zero Trailer if there is none. attempt may be nil.
func trailerOf(attempt *router.AttemptResult) oip.Trailer {
	if attempt == nil {
		return oip.Trailer{}
	}
	trailer, _ := attempt.Trailer.(oip.Trailer)
	return trailer
}
