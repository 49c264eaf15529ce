package grpcserver

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// TestFinalStatus checks that the status of a failed call never invites a retry: it disables automatic retries, and a
// worker's Unavailable is not forwarded.
func TestFinalStatus(t *testing.T) {
	internal := &router.AttemptResult{Result: dispatch.Errored, Trailer: oip.Trailer{Status: grpc.Status{Code: grpc.Internal, Message: "boom"}}}
	unavailable := &router.AttemptResult{Result: dispatch.Errored, Trailer: oip.Trailer{Status: grpc.Status{Code: grpc.Unavailable}}}
	lost := &router.AttemptResult{Result: dispatch.ConnectionReset, Trailer: oip.Trailer{Status: grpc.Status{Code: grpc.Unknown}}}
	for name, c := range map[string]struct {
		answer   router.FinalAnswer
		code     grpc.Code
		pushback string
	}{
		"rejected":                   {router.FinalAnswer{Kind: router.FinalRejected, RetryAfter: 250 * time.Millisecond}, grpc.Unavailable, "250"},
		"failed":                     {router.FinalAnswer{Kind: router.FinalFailed}, grpc.Unknown, "-1"},
		"deadline exceeded":          {router.FinalAnswer{Kind: router.FinalFailed, DeadlineExceeded: true, Attempt: internal}, grpc.DeadlineExceeded, "-1"},
		"failed by an error":         {router.FinalAnswer{Kind: router.FinalFailed, Attempt: internal}, grpc.Internal, "-1"},
		"failed, worker unavailable": {router.FinalAnswer{Kind: router.FinalFailed, Attempt: unavailable}, grpc.Unknown, "-1"},
		"failed, no trailer":         {router.FinalAnswer{Kind: router.FinalFailed, Attempt: &router.AttemptResult{Result: dispatch.Errored}}, grpc.Unknown, "-1"},
		"answered":                   {router.FinalAnswer{Attempt: &router.AttemptResult{Result: dispatch.OK, Trailer: oip.Trailer{}}}, grpc.OK, ""},
		"answered, then lost":        {router.FinalAnswer{Attempt: lost}, grpc.Unknown, ""},
	} {
		t.Run(name, func(t *testing.T) {
			status, trailers := FinalStatus(c.answer)
			if pushback, _ := grpc.FieldValue(trailers, retryPushbackField); status.Code != c.code || pushback != c.pushback {
				t.Errorf("%v, %s %q; want %v, %q", status, retryPushbackField, pushback, c.code, c.pushback)
			}
		})
	}
}
