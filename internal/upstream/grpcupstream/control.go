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

// maxControl is the largest answer that an order or a probe may bring, in bytes.
const maxControl = 64 << 10

// control is one of the gateway's own unary calls to a worker: a load order or a probe.
type control struct {
	p     *Pool
	path  string
	body  []byte
	until time.Time
	done  func(got verdict, body []byte, report oip.Report)

	mu     sync.Mutex
	stream *http2.Stream
	timer  *time.Timer
	reader grpc.MessageReader
	answer []byte
	count  int
	over   bool
}

func (p *Pool) control(worker, path string, m proto.Message, limit time.Duration,
	done func(verdict, []byte, oip.Report)) {
	raw, err := proto.Marshal(m)
	if err != nil {
		done(verdict{dispatch.NotSent, grpc.Status{Code: grpc.Internal, Message: err.Error()}}, nil, oip.NoReport)
		return
	}
	x := &control{p: p, path: path, until: time.Now().Add(limit), done: done,
		body: append(grpc.AppendPrefix(nil, len(raw), false), raw...), reader: grpc.MessageReader{MaxSize: maxControl}}
	x.timer = time.AfterFunc(limit, func() {
		x.mu.Lock()
		s := x.stream
		x.mu.Unlock()
		x.end(verdict{dispatch.TimedOut, grpc.Status{Code: grpc.DeadlineExceeded}}, oip.NoReport)
		if s != nil {
			s.Reset(http2.Cancel)
		}
	})
	p.do(worker, x)
}

func (x *control) open(c *http2.Conn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return nil
	}
	s, err := c.Open(x, x.p.head(x.path, time.Until(x.until)), x.body, true)
	if err == nil {
		x.stream = s
	}
	return err
}

func (x *control) fail(reason string) {
	x.end(verdict{dispatch.ConnectFailed, grpc.Status{Code: grpc.Unavailable, Message: reason}}, oip.NoReport)
}

func (x *control) end(got verdict, report oip.Report) {
	x.mu.Lock()
	if x.over {
		x.mu.Unlock()
		return
	}
	x.over = true
	x.timer.Stop()
	body := x.answer
	x.mu.Unlock()
	x.done(got, body, report)
}

// Headers implements http2.Receiver.
func (x *control) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	x.mu.Lock()
	count, broken := x.count, x.reader.Partial()
	x.mu.Unlock()
	report, _ := oip.ReportOf(fields)
	got, _ := ofTrailers(fields, count, broken, false)
	x.end(got, report)
}

// Data implements http2.Receiver.
func (x *control) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	x.mu.Lock()
	m, rest, err := x.reader.Next(p)
	if m != nil {
		x.count++
		x.answer = append([]byte(nil), m[grpc.PrefixLen:]...)
	}
	x.mu.Unlock()
	if err != nil || len(rest) > 0 || end {
		s.Reset(http2.Cancel)
		x.end(verdict{dispatch.Errored, grpc.Status{Code: grpc.Internal, Message: "broken answer"}}, oip.NoReport)
	}
}

// Sent implements http2.Receiver.
func (x *control) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (x *control) Closed(_ *http2.Stream, err error) {
	if err != nil {
		x.end(ofStream(err), oip.NoReport)
	}
}

// Load implements router.Upstream: RepositoryModelLoad, whose parameter "copies" asks for so many.
func (p *Pool) LoadFunction(worker, function string, copies int, limit time.Duration, done func(router.LoadResult)) {
	model, version := oip.SplitFunction(function)
	m := &inference.RepositoryModelLoadRequest{ModelName: model, Parameters: map[string]*inference.ModelRepositoryParameter{
		oip.ParamCopies: {ParameterChoice: &inference.ModelRepositoryParameter_Int64Param{Int64Param: int64(copies)}}}}
	if version != "" {
		m.Parameters["version"] = &inference.ModelRepositoryParameter{
			ParameterChoice: &inference.ModelRepositoryParameter_StringParam{StringParam: version}}
	}
	p.control(worker, oip.Load, m, limit, func(got verdict, _ []byte, report oip.Report) {
		o := router.LoadResult{Result: got.result, Copies: int(max(report.Copies, 0))}
		if got.result == dispatch.OK && got.status.Code != grpc.OK {
			o.Result = dispatch.Errored // a status about the order itself brings no copy
		}
		done(o)
	})
}

// Ask implements router.Upstream: ServerReady, whose trailers bring the worker's load.
func (p *Pool) CheckHealth(worker string, limit time.Duration, done func(router.HealthResult)) {
	p.control(worker, oip.ServerReady, &inference.ServerReadyRequest{}, limit,
		func(got verdict, body []byte, report oip.Report) {
			a := router.HealthResult{Result: got.result, Report: told(report)}
			if got.result == dispatch.OK && got.status.Code != grpc.OK {
				a.Result = dispatch.Errored
			}
			var m inference.ServerReadyResponse
			if a.Result == dispatch.OK && proto.Unmarshal(body, &m) == nil {
				a.Ready = m.Ready
			}
			done(a)
		})
}

// told puts a worker's report in the router's words.
func told(r oip.Report) router.WorkerReport {
	return router.WorkerReport{LoadReport: dispatch.LoadReport{InFlight: r.InFlight, Queued: r.Queue, Loading: r.Loading},
		CacheStatus: dispatch.CacheStatus(r.Warmth), FunctionInFlight: int(max(r.Company, -1))}
}
