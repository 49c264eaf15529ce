package fakeclient

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// pendingCall is a call whose result is not known yet. Its methods are called by the connection's reading goroutine, by
// its timer and by the caller.
type pendingCall struct {
	client    *Client
	id        string
	request   Request
	startedAt time.Time
	done      func(Result)
	recorded  bool        // the call was recorded as sent
	timer     *time.Timer // ends the wait for an answer; nil until the call is sent

	mu                 sync.Mutex
	counter            grpc.MessageCounter
	bytes              int // received in messages, with their prefixes
	timeToFirstMessage time.Duration
	ended              bool
}

// recordAbandoned records that the client no longer expects an answer, unless the call has ended or was not recorded as
// sent.
func (p *pendingCall) recordAbandoned() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if !ended && p.recorded {
		p.client.records.Add(invariants.Record{Kind: invariants.CallAbandoned, Call: p.id, Class: p.request.Class,
			Router: p.client.router})
	}
}

// finish ends the call and passes its result to done. Only the first result counts.
func (p *pendingCall) finish(r Result) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.ended = true
	r.Messages, r.Bytes, r.TimeToFirstMessage = p.counter.Messages, p.bytes, p.timeToFirstMessage
	r.Duration = time.Since(p.startedAt)
	p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
	p.done(r)
}

// Headers implements http2.Receiver.
func (p *pendingCall) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	r := resultOf(fields)
	p.mu.Lock()
	truncated := p.counter.Partial()
	p.mu.Unlock()
	if r.Answer == invariants.Served && truncated {
		r.Answer, r.Status = invariants.Failed, grpc.Status{Code: grpc.Internal, Message: "answer ends within a message"}
	}
	p.client.records.Add(invariants.Record{Kind: invariants.FinalAnswer, Call: p.id, Request: p.request.ID,
		Class: p.request.Class, Router: p.client.router, Answer: r.Answer})
	p.finish(r)
}

// resultOf returns the result that the trailers of an answer represent. The status Unavailable with a Retry-After means
// that the router rejected the call.
func resultOf(trailers []hpack.Field) Result {
	r := Result{Answered: true, Status: grpc.StatusFromTrailers(trailers)}
	retryAfter, hasRetryAfter := grpc.FieldValue(trailers, "grpc-retry-pushback-ms")
	if ms, err := strconv.ParseInt(retryAfter, 10, 64); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch {
	case r.Status.Code == grpc.OK:
		r.Answer = invariants.Served
	case r.Status.Code == grpc.Unavailable && hasRetryAfter && r.RetryAfter >= 0:
		r.Answer = invariants.Rejected
	default:
		r.Answer = invariants.Failed
	}
	return r
}

// Data implements http2.Receiver.
func (p *pendingCall) Data(s *http2.Stream, b []byte, end bool) {
	s.Consume(len(b))
	p.mu.Lock()
	err := p.counter.Add(b)
	p.bytes += len(b)
	if p.timeToFirstMessage == 0 && p.counter.Messages > 0 {
		p.timeToFirstMessage = time.Since(p.startedAt)
	}
	p.mu.Unlock()
	if err != nil || end { // a valid answer ends with trailers
		p.finish(Result{Status: grpc.Status{Code: grpc.Internal, Message: fmt.Sprint("broken answer: ", err)}})
	}
}

// Sent implements http2.Receiver.
func (p *pendingCall) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (p *pendingCall) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return
	}
	var streamError *http2.StreamError
	if errors.As(err, &streamError) && streamError.Unprocessed {
		p.recordAbandoned() // the router guarantees that it did not process the call
	}
	p.finish(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
}
