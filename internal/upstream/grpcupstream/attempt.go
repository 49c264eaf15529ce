package grpcupstream

import (
	"strconv"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// attempt is one try of a call at a worker: the receiver of its stream there. What comes before the router
// grants it to the client is held; the worker's window is given back as the client's connection takes what
// came, so that a slow reader holds its own worker's stream back and nothing else.
type attempt struct {
	p        *Pool
	token    router.AttemptToken
	req      *oip.Request
	streamed bool
	worker   string
	n        int
	until    time.Time

	mu       sync.Mutex
	stream   *http2.Stream
	metadata []hpack.Field
	started  bool // response headers have come
	badHTTP  *verdict
	counter  grpc.MessageCounter
	held     []byte
	ahead    int // bytes whose window was given back before the client took them
	client   router.Client
	drain    func(int) // drained, made once
	began    bool
	ended    bool
	gone     bool // cancelled
}

// open starts the stream; it runs with a connection that seemed to have room.
func (a *attempt) open(c *http2.Conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil
	}
	path := oip.Infer
	if a.streamed {
		path = oip.StreamInfer
	}
	fields := append(a.p.head(path, time.Until(a.until)), hpack.Field{Name: "grpc-previous-rpc-attempts",
		Value: strconv.Itoa(a.n)})
	if a.req.Encoding != "" {
		fields = append(fields, hpack.Field{Name: "grpc-encoding", Value: a.req.Encoding})
	}
	if a.req.Accept != "" {
		fields = append(fields, hpack.Field{Name: "grpc-accept-encoding", Value: a.req.Accept})
	}
	fields = append(fields, a.req.Metadata...)
	s, err := c.Open(a, fields, a.req.Message, true)
	if err == nil {
		a.stream = s
	}
	return err
}

// fail ends an attempt that was never sent.
func (a *attempt) fail(reason string) {
	a.end(router.AttemptResult{Result: dispatch.ConnectFailed, Report: router.NoWorkerReport,
		Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Unavailable, Message: "no connection to a worker: " + reason}}})
}

func (a *attempt) end(how router.AttemptResult) {
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	a.ended = true
	how.Head = a.metadata
	if a.client == nil {
		how.Body, a.held = a.held, nil
	}
	a.mu.Unlock()
	a.p.router.AttemptEnded(a.token, how)
}

// Headers implements http2.Receiver.
func (a *attempt) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	a.mu.Lock()
	if !a.started {
		a.started = true
		if status, _ := grpc.FieldValue(fields, ":status"); status != "200" {
			a.badHTTP = &verdict{dispatch.Errored, grpc.StatusFromHTTP(status)}
		} else if ct, _ := grpc.FieldValue(fields, "content-type"); !grpc.IsContentType(ct) {
			a.badHTTP = &verdict{dispatch.Errored, grpc.Status{Code: grpc.Unknown,
				Message: "worker's answer has content-type " + strconv.Quote(ct)}}
		}
		if !end {
			a.metadata = passed(fields, true)
			a.mu.Unlock()
			return
		}
	}
	messages, broken, bad := a.counter.Messages, a.counter.Partial(), a.badHTTP
	a.mu.Unlock()
	report, err := oip.ReportOf(fields)
	if err != nil {
		a.p.cfg.Log.Info("unreadable load report", "worker", a.worker, "error", err)
	}
	got, drains := ofTrailers(fields, messages, broken, a.streamed)
	if bad != nil {
		got = *bad
	}
	a.end(router.AttemptResult{Result: got.result, Trailer: oip.Tail{Status: got.status, Trailers: passed(fields, false)}, Report: told(report),
		WorkerDraining: drains})
}

// passed picks the worker's own metadata; of a response's headers, its encoding too.
func passed(fields []hpack.Field, encoding bool) []hpack.Field {
	var out []hpack.Field
	for _, f := range fields {
		if encoding && f.Name == "grpc-encoding" || !grpc.IsReservedHeader(f.Name) && f.Name != oip.ReportField &&
			f.Name != oip.AdmissionField {
			out = append(out, f)
		}
	}
	return out
}

// Data implements http2.Receiver.
func (a *attempt) Data(s *http2.Stream, p []byte, end bool) {
	a.mu.Lock()
	if a.ended || a.gone {
		a.mu.Unlock()
		s.Consume(len(p))
		return
	}
	broken := a.counter.Add(p)
	before := a.counter.Messages == 0 || !a.streamed
	switch {
	case broken != nil || a.badHTTP != nil:
	case a.client != nil:
		a.took(a.client.Message(p, a.drain))
	default:
		a.held = append(a.held, p...)
		if before { // a message larger than the window must come in whole
			a.ahead += len(p)
			s.Consume(len(p))
		}
	}
	tooLarge := before && len(a.held) > a.p.cfg.MaxMessage+grpc.PrefixLen
	tell := a.streamed && !a.began && a.counter.Messages > 0 && broken == nil && a.badHTTP == nil
	a.began = a.began || tell
	metadata, bad := a.metadata, a.badHTTP
	a.mu.Unlock()
	switch {
	case bad != nil:
		s.Reset(http2.Cancel)
		a.end(router.AttemptResult{Result: bad.result, Trailer: oip.Tail{Status: bad.status}, Report: router.NoWorkerReport})
	case broken != nil || tooLarge:
		s.Reset(http2.Cancel)
		a.end(router.AttemptResult{Result: dispatch.Errored, Report: router.NoWorkerReport, Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Internal,
			Message: "worker's answer is broken or too large"}}})
	case end:
		a.end(router.AttemptResult{Result: dispatch.Errored, Report: router.NoWorkerReport, Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Unknown,
			Message: "worker sent no status"}}})
	case tell:
		a.p.router.ResponseStarted(a.token, metadata)
	}
}

// Sent implements http2.Receiver.
func (a *attempt) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (a *attempt) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return // Headers or Data has told the end
	}
	got := ofStream(err)
	a.end(router.AttemptResult{Result: got.result, Trailer: oip.Tail{Status: got.status}, Report: router.NoWorkerReport})
}

// Grant implements router.Attempt.
func (a *attempt) ForwardTo(c router.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client = c
	held := a.held
	a.held = nil
	if len(held) > 0 && !a.gone {
		a.took(c.Message(held, a.drain))
	}
}

// drained is told, as the client's connection takes them, of bytes that were held.
func (a *attempt) drained(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.took(n)
}

func (a *attempt) took(n int) {
	k := min(n, a.ahead)
	a.ahead -= k
	if a.stream != nil {
		a.stream.Consume(n - k)
	}
}

// Cancel implements router.Attempt.
func (a *attempt) Cancel() {
	a.mu.Lock()
	a.gone = true
	s := a.stream
	a.mu.Unlock()
	if s != nil {
		s.Reset(http2.Cancel)
	}
	a.end(router.AttemptResult{Result: dispatch.Cancelled, Report: router.NoWorkerReport,
		Trailer: oip.Tail{Status: grpc.Status{Code: grpc.Canceled, Message: "cancelled by the gateway"}}})
}
