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

// controlCall is a unary call of the gateway's own to a worker: a load command or a health check.
type controlCall struct {
	pool     *Pool
	path     string
	body     []byte // with the gRPC prefix
	deadline time.Time
	limits   router.SendLimits
	done     func(result outcome, body []byte, report oip.LoadReport) // called once, without the lock

	mu       sync.Mutex
	stream   *http2.Stream // nil until it is opened
	timer    *time.Timer
	reader   grpc.MessageReader
	response []byte // the last message received, without its prefix
	messages int    // received
	ended    bool
}

// startControlCall sends a message to a worker and calls done once, after limit at the latest.
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

// openStream implements outgoingCall. A call that has ended meanwhile opens none, nor does one that must not be sent any
// more, which ends.
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
func (cc *controlCall) finish(result outcome, report oip.LoadReport) {
	cc.mu.Lock()
	if cc.ended {
		cc.mu.Unlock()
		return
	}
	cc.ended = true
	cc.timer.Stop()
	body := cc.response
	cc.mu.Unlock()
	cc.done(result, body, report)
}

// Headers implements http2.Receiver. Only trailers matter.
func (cc *controlCall) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	cc.mu.Lock()
	messages, truncated := cc.messages, cc.reader.Partial()
	cc.mu.Unlock()
	report, _ := oip.ParseLoadReport(fields)
	result, _ := classifyTrailers(fields, messages, truncated, false)
	cc.finish(result, report)
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

// LoadFunction implements router.Upstream by RepositoryModelLoad with the parameter "copies".
func (p *Pool) LoadFunction(workerID, function string, copies int, limits router.SendLimits, done func(router.LoadResult)) {
	model, version := oip.SplitFunction(function)
	request := &inference.RepositoryModelLoadRequest{ModelName: model, Parameters: map[string]*inference.ModelRepositoryParameter{
		oip.ParamCopies: {ParameterChoice: &inference.ModelRepositoryParameter_Int64Param{Int64Param: int64(copies)}}}}
	if version != "" {
		request.Parameters["version"] = &inference.ModelRepositoryParameter{
			ParameterChoice: &inference.ModelRepositoryParameter_StringParam{StringParam: version}}
	}
	p.startControlCall(workerID, oip.Load, request, limits, func(ended outcome, _ []byte, report oip.LoadReport) {
		result := router.LoadResult{Result: ended.result, Copies: int(max(report.Copies, 0))}
		if ended.result == dispatch.OK && ended.status.Code != grpc.OK {
			result.Result = dispatch.Errored // a status about the command itself means that no copy was loaded
		}
		done(result)
	})
}

// CheckHealth implements router.Upstream by ServerReady, whose trailers carry the worker's load report.
func (p *Pool) CheckHealth(workerID string, limit time.Duration, done func(router.HealthResult)) {
	p.startControlCall(workerID, oip.ServerReady, &inference.ServerReadyRequest{}, router.SendLimits{Remaining: limit},
		func(ended outcome, body []byte, report oip.LoadReport) {
			result := router.HealthResult{Result: ended.result, Report: workerReport(report)}
			if ended.result == dispatch.OK && ended.status.Code != grpc.OK {
				result.Result = dispatch.Errored
			}
			var response inference.ServerReadyResponse
			if result.Result == dispatch.OK && proto.Unmarshal(body, &response) == nil {
				result.Ready = response.Ready
			}
			done(result)
		})
}

// workerReport converts the report of a worker.
func workerReport(report oip.LoadReport) router.WorkerReport {
	return router.WorkerReport{LoadReport: dispatch.LoadReport{InFlight: report.InFlight, Queued: report.Queued, Loading: report.Loading},
		CacheStatus: dispatch.CacheStatus(report.CacheStatus), FunctionInFlight: int(max(report.FunctionInFlight, -1))}
}
