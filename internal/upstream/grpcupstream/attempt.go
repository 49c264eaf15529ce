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

// attempt is one attempt of a call at a worker. It receives the events of its HTTP/2 stream. The response is buffered
// until the router calls ForwardTo. From then on the stream's flow-control window is credited as the bytes are
// written to the client, so that a slow client blocks only the stream that it reads from.
type attempt struct {
	pool             *Pool
	token            router.AttemptToken
	request          *oip.Request
	streamed         bool
	worker           string // the worker's ID
	previousAttempts int    // of the same call
	deadline         time.Time
	limits           router.SendLimits

	mu              sync.Mutex    // guards the fields below, except onWritten
	stream          *http2.Stream // nil until it is opened
	connectedAt     time.Time     // when the connection of the stream was opened
	metadata        []hpack.Field // from the response headers, forwarded to the client
	headersReceived bool
	invalidResponse *outcome // set if the response is not gRPC or its HTTP status is not 200
	counter         grpc.MessageCounter
	buffered        []byte        // response bytes not yet passed to a client
	earlyCredit     int           // bytes credited to the stream's window before they were written to the client
	client          router.Client // nil until ForwardTo
	onWritten       func(int)     // the method value creditWritten, allocated once
	responseStarted bool          // the router was notified
	ended           bool          // the result was reported to the router
	cancelled       bool          // by the router
}

// StartAttempt implements router.Upstream.
func (p *Pool) StartAttempt(token router.AttemptToken, call *router.Call, workerID string, previousAttempts int, limits router.SendLimits) router.UpstreamAttempt {
	request, _ := call.Request.(*oip.Request)
	a := &attempt{pool: p, token: token, request: request, streamed: call.Streamed, worker: workerID,
		previousAttempts: previousAttempts, deadline: time.Now().Add(limits.Remaining), limits: limits}
	a.onWritten = a.creditWritten
	if request == nil {
		a.fail(dispatch.ConnectFailed, "the call came by another protocol")
		return a
	}
	p.startStream(workerID, a)
	return a
}

// openStream implements outgoingCall. It opens no stream if the attempt has ended in the meantime, or if it is too
// late to send it, or the connection was opened too late; in the last two cases the attempt ends with the result NotSent.
func (a *attempt) openStream(c *http2.Conn) error {
	if a.limits.Expired(time.Now()) {
		a.abort(outcome{dispatch.NotSent, grpc.Status{Code: grpc.Unavailable, Message: "not sent in time"}})
		return nil
	}
	if !a.limits.AllowsConnection(c.OpenedAt()) {
		a.abort(outcome{dispatch.NotSent, grpc.Status{Code: grpc.Unavailable, Message: "no connection to the listed worker"}})
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil
	}
	a.connectedAt = c.OpenedAt()
	path := oip.Infer
	if a.streamed {
		path = oip.StreamInfer
	}
	fields := append(a.pool.requestHeaders(path, time.Until(a.deadline)), hpack.Field{Name: "grpc-previous-rpc-attempts",
		Value: strconv.Itoa(a.previousAttempts)})
	if a.request.Encoding != "" {
		fields = append(fields, hpack.Field{Name: "grpc-encoding", Value: a.request.Encoding})
	}
	if a.request.AcceptEncoding != "" {
		fields = append(fields, hpack.Field{Name: "grpc-accept-encoding", Value: a.request.AcceptEncoding})
	}
	fields = append(fields, a.request.Metadata...)
	stream, err := c.OpenStream(a, fields, a.request.Message, true)
	if err == nil {
		a.stream = stream
	}
	return err
}

// fail implements outgoingCall.
func (a *attempt) fail(result dispatch.Result, reason string) {
	a.abort(outcome{result, grpc.Status{Code: grpc.Unavailable, Message: "no connection to a worker: " + reason}})
}

// abort ends an attempt before the worker's trailers were received.
func (a *attempt) abort(callOutcome outcome) {
	a.finish(router.AttemptResult{Result: callOutcome.result, Trailer: oip.Trailer{Status: callOutcome.status},
		Report: router.NoWorkerReport})
}

// finish reports the end of the attempt to the router, once. The result includes the response bytes that were not
// passed to a client.
func (a *attempt) finish(result router.AttemptResult) {
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	a.ended = true
	result.Head = a.metadata
	result.ConnectedAt = a.connectedAt
	if a.client == nil {
		result.Body, a.buffered = a.buffered, nil
	}
	a.mu.Unlock()
	a.pool.router.AttemptEnded(a.token, result)
}

// Headers implements http2.Receiver. The first header block is the response header, unless it ends the stream; then
// it is header and trailers in one ("Trailers-Only"). A later block holds the trailers.
func (a *attempt) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	a.mu.Lock()
	if !a.headersReceived {
		a.headersReceived = true
		if status, _ := grpc.FieldValue(fields, ":status"); status != "200" {
			a.invalidResponse = &outcome{dispatch.Errored, grpc.StatusFromHTTP(status)}
		} else if contentType, _ := grpc.FieldValue(fields, "content-type"); !grpc.IsContentType(contentType) {
			a.invalidResponse = &outcome{dispatch.Errored, grpc.Status{Code: grpc.Unknown,
				Message: "worker's answer has content-type " + strconv.Quote(contentType)}}
		}
		if !end {
			a.metadata = forwardedMetadata(fields, true)
			a.mu.Unlock()
			return
		}
	}
	messages, truncated, invalid := a.counter.Messages, a.counter.Partial(), a.invalidResponse
	a.mu.Unlock()
	report, err := oip.ParseLoadReport(fields)
	if err != nil {
		a.pool.config.Logger.Info("malformed load report", "endpoint", a.worker, "error", err)
	}
	callOutcome, workerDraining := classifyTrailers(fields, messages, truncated, a.streamed)
	if invalid != nil {
		callOutcome = *invalid
	}
	a.finish(router.AttemptResult{
		Result:         callOutcome.result,
		Trailer:        oip.Trailer{Status: callOutcome.status, Metadata: forwardedMetadata(fields, false)},
		Report:         workerReport(report),
		WorkerDraining: workerDraining,
	})
}

// forwardedMetadata returns the fields that are forwarded to the client: the worker's own metadata and, if
// includeEncoding is set, as for response headers, grpc-encoding.
func forwardedMetadata(fields []hpack.Field, includeEncoding bool) []hpack.Field {
	var out []hpack.Field
	for _, f := range fields {
		if includeEncoding && f.Name == "grpc-encoding" || !grpc.IsReservedHeader(f.Name) && f.Name != oip.LoadReportField &&
			f.Name != oip.AdmissionField {
			out = append(out, f)
		}
	}
	return out
}

// Data implements http2.Receiver.
func (a *attempt) Data(s *http2.Stream, p []byte, end bool) {
	a.mu.Lock()
	if a.ended || a.cancelled {
		a.mu.Unlock()
		s.Consume(len(p))
		return
	}
	malformed := a.counter.Add(p)
	beforeFirstMessage := a.counter.Messages == 0 || !a.streamed
	switch {
	case malformed != nil || a.invalidResponse != nil:
	case a.client != nil:
		a.creditWindow(a.client.WriteBody(p, a.onWritten))
	default:
		a.buffered = append(a.buffered, p...)
		if beforeFirstMessage { // without the credit a message larger than the window could not become complete
			a.earlyCredit += len(p)
			s.Consume(len(p))
		}
	}
	tooLarge := beforeFirstMessage && len(a.buffered) > a.pool.config.MaxMessageBytes+grpc.PrefixLen
	notifyStarted := a.streamed && !a.responseStarted && a.counter.Messages > 0 && malformed == nil && a.invalidResponse == nil
	a.responseStarted = a.responseStarted || notifyStarted
	metadata, invalid := a.metadata, a.invalidResponse
	a.mu.Unlock()
	switch {
	case invalid != nil:
		s.Reset(http2.Cancel)
		a.abort(*invalid)
	case malformed != nil || tooLarge:
		s.Reset(http2.Cancel)
		a.abort(outcome{dispatch.Errored,
			grpc.Status{Code: grpc.Internal, Message: "worker's answer is broken or too large"}})
	case end:
		a.abort(outcome{dispatch.Errored, grpc.Status{Code: grpc.Unknown, Message: "worker sent no status"}})
	case notifyStarted:
		a.pool.router.ResponseStarted(a.token, metadata)
	}
}

// Sent implements http2.Receiver.
func (a *attempt) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (a *attempt) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return // Headers or Data has already ended the attempt
	}
	a.abort(classifyStreamError(err))
}

// ForwardTo implements router.UpstreamAttempt.
func (a *attempt) ForwardTo(client router.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client = client
	buffered := a.buffered
	a.buffered = nil
	if len(buffered) > 0 && !a.cancelled {
		a.creditWindow(client.WriteBody(buffered, a.onWritten))
	}
}

// creditWritten is the onWritten callback of Client.WriteBody: n queued bytes were written to the client.
func (a *attempt) creditWritten(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.creditWindow(n)
}

// creditWindow credits n bytes to the stream's window, less those that were credited early. The caller holds a.mu.
func (a *attempt) creditWindow(n int) {
	early := min(n, a.earlyCredit)
	a.earlyCredit -= early
	if a.stream != nil {
		a.stream.Consume(n - early)
	}
}

// Cancel implements router.UpstreamAttempt.
func (a *attempt) Cancel() {
	a.mu.Lock()
	a.cancelled = true
	stream := a.stream
	a.mu.Unlock()
	if stream != nil {
		stream.Reset(http2.Cancel)
	}
	a.abort(outcome{dispatch.Cancelled, grpc.Status{Code: grpc.Canceled, Message: "cancelled by the gateway"}})
}
