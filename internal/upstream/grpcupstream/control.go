package grpcupstream

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// maxControlResponse is the largest response to a load command or a health check, in bytes.
const maxControlResponse = 64 << 10

// controlCall is a unary call that the gateway itself makes to a worker: a load command or a health check.
type controlCall struct {
	pool     *Pool
	path     string
	body     []byte // the request message with its gRPC prefix
	deadline time.Time
	limits   router.SendLimits
	done     func(callOutcome outcome, body []byte, report oip.LoadReport) // called once, without holding mu

	mu       sync.Mutex    // guards the fields below
	stream   *http2.Stream // nil until it is opened
	timer    *time.Timer   // ends the call at its deadline
	reader   grpc.MessageReader
	response []byte // the last message received, without its prefix
	messages int    // number of messages received
	ended    bool
}

// startControlCall sends a message to a worker and calls done once, at the latest after limits.Remaining.
func (p *Pool) startControlCall(workerID, path string, message proto.Message, limits router.SendLimits,
	done func(outcome, []byte, oip.LoadReport)) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		done(outcome{dispatch.NotSent, grpc.Status{Code: grpc.Internal, Message: err.Error()}}, nil, oip.NoLoadReport)
		return
	}
	call := &controlCall{pool: p, path: path, deadline: time.Now().Add(limits.Remaining), limits: limits, done: done,
		body: append(grpc.AppendPrefix(nil, len(encoded), false), encoded...), reader: grpc.MessageReader{MaxSize: maxControlResponse}}
	call.timer = time.AfterFunc(limits.Remaining, func() {
		call.mu.Lock()
		stream := call.stream
		call.mu.Unlock()
		call.finish(outcome{dispatch.TimedOut, grpc.Status{Code: grpc.DeadlineExceeded}}, oip.NoLoadReport)
		if stream != nil {
			stream.Reset(http2.Cancel)
		}
	})
	p.startStream(workerID, call)
}

// openStream implements outgoingCall. It opens no stream if the call has ended in the meantime, or if it is too late
// to send it; in the second case the call ends with the result NotSent.
func (cc *controlCall) openStream(c *http2.Conn) error {
	if cc.limits.Expired(time.Now()) {
		cc.fail(dispatch.NotSent, "not sent in time")
		return nil
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.ended {
		return nil
	}
	stream, err := c.OpenStream(cc, cc.pool.requestHeaders(cc.path, time.Until(cc.deadline)), cc.body, true)
	if err == nil {
		cc.stream = stream
	}
	return err
}

// fail implements outgoingCall.
func (cc *controlCall) fail(result dispatch.Result, reason string) {
	cc.finish(outcome{result, grpc.Status{Code: grpc.Unavailable, Message: reason}}, oip.NoLoadReport)
}

// finish stops the timer and reports the result, once.
func (cc *controlCall) finish(callOutcome outcome, report oip.LoadReport) {
	cc.mu.Lock()
	if cc.ended {
		cc.mu.Unlock()
		return
	}
	cc.ended = true
	cc.timer.Stop()
	body := cc.response
	cc.mu.Unlock()
	cc.done(callOutcome, body, report)
}

// Headers implements http2.Receiver. Only the trailers are used.
func (cc *controlCall) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	cc.mu.Lock()
	messages, truncated := cc.messages, cc.reader.Partial()
	cc.mu.Unlock()
	report, _ := oip.ParseLoadReport(fields)
	callOutcome, _ := classifyTrailers(fields, messages, truncated, false)
	cc.finish(callOutcome, report)
}

// Data implements http2.Receiver.
func (cc *controlCall) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	cc.mu.Lock()
	message, rest, err := cc.reader.Next(p)
	if message != nil {
		cc.messages++
		cc.response = append([]byte(nil), message[grpc.PrefixLen:]...)
	}
	cc.mu.Unlock()
	if err != nil || len(rest) > 0 || end {
		s.Reset(http2.Cancel)
		cc.finish(outcome{dispatch.Errored, grpc.Status{Code: grpc.Internal, Message: "broken answer"}}, oip.NoLoadReport)
	}
}

// Sent implements http2.Receiver.
func (cc *controlCall) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (cc *controlCall) Closed(_ *http2.Stream, err error) {
	if err != nil {
		cc.finish(classifyStreamError(err), oip.NoLoadReport)
	}
}

// LoadFunction implements router.Upstream with a call of RepositoryModelLoad that has the parameter "copies".
func (p *Pool) LoadFunction(workerID, function string, copies int, limits router.SendLimits, done func(router.LoadResult)) {
	model, version := oip.SplitFunction(function)
	request := &inference.RepositoryModelLoadRequest{ModelName: model, Parameters: map[string]*inference.ModelRepositoryParameter{
		oip.ParamCopies: {ParameterChoice: &inference.ModelRepositoryParameter_Int64Param{Int64Param: int64(copies)}}}}
	if version != "" {
		request.Parameters["version"] = &inference.ModelRepositoryParameter{
			ParameterChoice: &inference.ModelRepositoryParameter_StringParam{StringParam: version}}
	}
	p.startControlCall(workerID, oip.Load, request, limits, func(callOutcome outcome, _ []byte, report oip.LoadReport) {
		result := router.LoadResult{Result: callOutcome.result, Copies: int(max(report.Copies, 0))}
		if callOutcome.result == dispatch.OK && callOutcome.status.Code != grpc.OK {
			result.Result = dispatch.Errored // a status about the request itself means that no copy was loaded
		}
		done(result)
	})
}

// CheckHealth implements router.Upstream with a call of ServerReady, whose trailers carry the worker's load report.
func (p *Pool) CheckHealth(workerID string, timeout time.Duration, done func(router.HealthResult)) {
	p.startControlCall(workerID, oip.ServerReady, &inference.ServerReadyRequest{},
		router.SendLimits{Remaining: timeout},
		func(callOutcome outcome, body []byte, report oip.LoadReport) {
			result := router.HealthResult{Result: callOutcome.result, Report: workerReport(report)}
			if callOutcome.result == dispatch.OK && callOutcome.status.Code != grpc.OK {
				result.Result = dispatch.Errored
			}
			var response inference.ServerReadyResponse
			if result.Result == dispatch.OK && proto.Unmarshal(body, &response) == nil {
				result.Ready = response.Ready
			}
			done(result)
		})
}

// workerReport converts a worker's load report to the form of the router.
func workerReport(report oip.LoadReport) router.WorkerReport {
	return router.WorkerReport{LoadReport: dispatch.LoadReport{InFlight: report.InFlight, Queued: report.Queued, Loading: report.Loading},
		CacheStatus: dispatch.CacheStatus(report.CacheStatus), FunctionInFlight: int(max(report.FunctionInFlight, -1))}
}
