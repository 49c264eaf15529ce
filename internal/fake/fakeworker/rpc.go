package fakeworker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
	"github.com/topazfront/topazfront/internal/upstream/grpcupstream"
)

// maxRequestBytes bounds a request message.
const maxRequestBytes = 64 << 20

var responseHeaders = []hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}

// connHandler handles the events of one router's connection.
type connHandler struct{ worker *Worker }

// StreamOpened implements http2.Handler.
func (h connHandler) StreamOpened(s *http2.Stream) http2.Receiver {
	return &rpc{worker: h.worker, stream: s, reader: grpc.MessageReader{MaxSize: maxRequestBytes}}
}

// GoAway implements http2.Handler.
func (h connHandler) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (h connHandler) ConnClosed(c *http2.Conn, _ error) {
	h.worker.mu.Lock()
	delete(h.worker.routers, c)
	h.worker.mu.Unlock()
}

// rpc is one gRPC call: it reads the request from a stream and writes the response to it.
type rpc struct {
	worker      *Worker
	stream      *http2.Stream
	path        string
	router      string
	encoding    string
	reader      grpc.MessageReader
	body        []byte // of the request message, once it is complete
	job         *job   // nil unless this is an inference call; guarded by the worker's mu
	headersSent bool
}

// Headers implements http2.Receiver.
func (r *rpc) Headers(s *http2.Stream, fields []hpack.Field, end bool) {
	if r.path != "" {
		return
	}
	r.path, _ = grpc.FieldValue(fields, ":path")
	r.router, _ = grpc.FieldValue(fields, grpcupstream.RouterField)
	r.encoding, _ = grpc.FieldValue(fields, "grpc-encoding")
	refused, delay := r.recordRouter(s.Conn())
	if refused {
		s.Reset(http2.RefusedStream)
		return
	}
	if delay > 0 {
		time.Sleep(delay) // blocks the connection's reading goroutine, which simulates a slow handshake
	}
	if end {
		r.handle()
	}
}

// recordRouter records which router a connection belongs to. It reports whether a fault refuses the stream, and the
// delay of the connection's first call.
func (r *rpc) recordRouter(conn *http2.Conn) (refused bool, delay time.Duration) {
	w := r.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routers[conn] == "" {
		delay = w.faults.HandshakeDelay
	}
	w.routers[conn] = r.router
	return w.faults.RefuseStreams, delay
}

// Data implements http2.Receiver.
func (r *rpc) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	for len(p) > 0 {
		message, rest, err := r.reader.Next(p)
		if err != nil {
			s.Reset(http2.ProtocolError)
			return
		}
		if message != nil && r.body == nil {
			body, err := grpc.MessageBody(message, r.encoding, maxRequestBytes)
			if err != nil {
				s.Reset(http2.ProtocolError)
				return
			}
			r.body = append([]byte{}, body...)
		}
		p = rest
	}
	if end {
		r.handle()
	}
}

// Sent implements http2.Receiver.
func (r *rpc) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (r *rpc) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return
	}
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	if r.job != nil {
		r.worker.cancel(r.job)
	}
}

// respond sends a response that consists of one message, and its trailers.
func (r *rpc) respond(m proto.Message, report oip.LoadReport) {
	raw, err := proto.Marshal(m)
	if err != nil {
		r.finish(outcome{status: grpc.Status{Code: grpc.Internal, Message: err.Error()}}, report)
		return
	}
	r.writeMessage(raw)
	r.finish(outcome{}, report)
}

// sendInferResponse sends message n of the response to an inference call, unless the call was cancelled.
func (r *rpc) sendInferResponse(j *job, n int) {
	if j.cancelled {
		return
	}
	response := &inference.ModelInferResponse{
		ModelName:         j.model.Name,
		Id:                j.callID,
		RawOutputContents: [][]byte{make([]byte, max(j.messageBytes, 0))},
		Parameters: map[string]*inference.InferParameter{"sequence": {
			ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: int64(n)}}},
	}
	var m proto.Message = response
	if j.streamed {
		m = &inference.ModelStreamInferResponse{InferResponse: response}
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return
	}
	r.writeMessage(raw)
}

// writeMessage sends a message, preceded by the response headers if it is the first. It ignores errors of the stream:
// Closed is called for them.
func (r *rpc) writeMessage(raw []byte) {
	if !r.headersSent {
		r.headersSent = true
		_ = r.stream.WriteHeaders(responseHeaders, false)
	}
	_, _ = r.stream.Write(append(grpc.AppendPrefix(make([]byte, 0, len(raw)+grpc.PrefixLen), len(raw), false), raw...), false)
}

// finish ends the response with its trailers, which hold the status, the rejection reason and the load report.
func (r *rpc) finish(o outcome, report oip.LoadReport) {
	fields := o.status.Trailers()
	if o.admission != "" {
		fields = append(fields, hpack.Field{Name: oip.AdmissionField, Value: o.admission})
	}
	if report != oip.NoLoadReport {
		fields = append(fields, report.Trailer())
	}
	if r.headersSent {
		_ = r.stream.WriteTrailers(fields)
		return
	}
	_ = r.stream.WriteHeaders(append(append([]hpack.Field{}, responseHeaders...), fields...), true)
}
