package fakeworker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
	"github.com/topazfront/topazfront/internal/upstream/grpcupstream"
)

// The parameters by which a client tells a stand-in what a call truly is. The gateway passes them through.
const (
	ParamRequest  = "sim_request"  // string: what the try is for, the same for repeats
	ParamWorkMS   = "sim_work_ms"  // double: true work on a standard core
	ParamMessages = "sim_messages" // int64: messages of a streamed answer
	ParamBytes    = "sim_bytes"    // int64: bytes of each
)

// link is the handler of a router's connection.
type connHandler struct{ worker *Worker }

// Open implements http2.Handler.
func (l connHandler) Open(s *http2.Stream) http2.Receiver {
	return &rpc{worker: l.worker, stream: s, reader: grpc.Reader{Max: 64 << 20}}
}

// GoAway implements http2.Handler.
func (l connHandler) GoAway(*http2.Conn, http2.ErrCode) {}

// Lost implements http2.Handler.
func (l connHandler) Lost(c *http2.Conn, _ error) {
	l.worker.mu.Lock()
	delete(l.worker.routers, c)
	l.worker.mu.Unlock()
}

// reply is one stream: it reads a request and carries the answer.
type rpc struct {
	worker      *Worker
	stream      *http2.Stream
	path        string
	router      string
	encoding    string
	reader      grpc.Reader
	body        []byte
	job         *job
	headersSent bool
}

// Headers implements http2.Receiver.
func (r *rpc) Headers(s *http2.Stream, fields []hpack.Field, end bool) {
	if r.path != "" {
		return
	}
	r.path, _ = grpc.Get(fields, ":path")
	r.router, _ = grpc.Get(fields, grpcupstream.RouterField)
	r.encoding, _ = grpc.Get(fields, "grpc-encoding")
	r.worker.mu.Lock()
	first := r.worker.routers[s.Conn()] == ""
	r.worker.routers[s.Conn()] = r.router
	refuse, wait := r.worker.faults.RefuseStreams, time.Duration(0)
	if first {
		wait = r.worker.faults.HandshakeDelay
	}
	r.worker.mu.Unlock()
	if refuse {
		s.Reset(http2.RefusedStream)
		return
	}
	if wait > 0 {
		time.Sleep(wait) // the reading goroutine of this connection is held: its handshake is slow
	}
	if end {
		r.handle()
	}
}

// Data implements http2.Receiver.
func (r *rpc) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	for len(p) > 0 {
		m, rest, err := r.reader.Next(p)
		if err != nil {
			s.Reset(http2.ProtocolError)
			return
		}
		if m != nil && r.body == nil {
			b, err := grpc.Body(m, r.encoding, 64<<20)
			if err != nil {
				s.Reset(http2.ProtocolError)
				return
			}
			r.body = append([]byte{}, b...)
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

// whole acts on a request that is whole.
func (r *rpc) handle() {
	w := r.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	switch r.path {
	case oip.Infer, oip.StreamInfer:
		var m inference.ModelInferRequest
		if err := proto.Unmarshal(r.body, &m); err != nil || m.ModelName == "" {
			r.finish(outcome{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}, oip.NoLoadReport)
			return
		}
		r.job = newJob(&m, r)
		w.accept(r.job)
	case oip.Load:
		var m inference.RepositoryModelLoadRequest
		if err := proto.Unmarshal(r.body, &m); err != nil {
			r.finish(outcome{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}, oip.NoLoadReport)
			return
		}
		r.handleLoad(&m)
	case oip.ServerReady:
		if w.faults.Hang || w.overloaded {
			return
		}
		if !w.draining {
			w.record(invariants.Record{Kind: invariants.WorkerReady, Worker: w.config.ID, Router: r.router})
		}
		r.respond(&inference.ServerReadyResponse{Ready: !w.draining}, w.loadReport(nil))
	case oip.Index:
		out := &inference.RepositoryIndexResponse{}
		for name, at := range w.models {
			if at.loadedCopies() > 0 {
				out.Models = append(out.Models, &inference.RepositoryIndexResponse_ModelIndex{Name: name, State: "READY"})
			}
		}
		r.respond(out, oip.NoLoadReport)
	case oip.Unload:
		var m inference.RepositoryModelUnloadRequest
		if proto.Unmarshal(r.body, &m) == nil && w.models[m.ModelName] != nil {
			at := w.models[m.ModelName]
			for _, c := range append([]*modelCopy(nil), at.copies...) {
				if c.loaded && c.running == 0 {
					at.unload(c)
				}
			}
		}
		r.respond(&inference.RepositoryModelUnloadResponse{}, oip.NoLoadReport)
	case oip.ServerLive:
		r.respond(&inference.ServerLiveResponse{Live: true}, oip.NoLoadReport)
	default:
		r.finish(outcome{status: grpc.Status{Code: grpc.Unimplemented, Message: "no call " + r.path}}, oip.NoLoadReport)
	}
}

func newJob(m *inference.ModelInferRequest, r *rpc) *job {
	number := func(name string, or float64) float64 {
		switch v := m.Parameters[name].GetParameterChoice().(type) {
		case *inference.InferParameter_Int64Param:
			return float64(v.Int64Param)
		case *inference.InferParameter_DoubleParam:
			return v.DoubleParam
		}
		return or
	}
	j := &job{callID: m.Id, requestID: m.Parameters[ParamRequest].GetStringParam(), router: r.router, stream: r,
		class: m.Parameters[oip.ParamClass].GetStringParam(), idempotencyKey: m.Parameters[oip.ParamIdempotencyKey].GetStringParam(),
		model: Model{Name: m.ModelName, MemoryMB: number(oip.ParamMemoryMB, 100), ConcurrencyPerInstance: int(number(oip.ParamConcurrency, 1)),
			LoadTime: time.Duration(number(oip.ParamLoadMS, 0) * float64(time.Millisecond))},
		work:     time.Duration(number(ParamWorkMS, 1) * float64(time.Millisecond)),
		streamed: r.path == oip.StreamInfer, messageCount: int(number(ParamMessages, 1)), messageBytes: int(number(ParamBytes, 16))}
	if m.ModelVersion != "" {
		j.model.Name += "@" + m.ModelVersion
	}
	if j.class == "" {
		j.class = r.worker.config.Models[j.model.Name].Class
	}
	return j
}

// load acts on a load order.
func (r *rpc) handleLoad(m *inference.RepositoryModelLoadRequest) {
	w := r.worker
	copies := int(m.Parameters[oip.ParamCopies].GetInt64Param())
	w.record(invariants.Record{Kind: invariants.LoadCommandReceived, Router: r.router, Worker: w.config.ID, Request: m.ModelName, Copies: copies})
	switch {
	case w.faults.Hang || w.overloaded:
		return
	case w.draining && copies > 0:
		r.finish(workerDraining, w.loadReport(nil))
		return
	}
	name := m.ModelName
	if v := m.Parameters["version"].GetStringParam(); v != "" {
		name += "@" + v
	}
	at := w.modelState(Model{Name: name, MemoryMB: 100, ConcurrencyPerInstance: 1})
	w.ensureCopies(at.Model, copies, func(ok bool, n int, err error) {
		report := w.loadReport(nil)
		report.Copies = float64(n)
		switch {
		case ok:
			r.respond(&inference.RepositoryModelLoadResponse{}, report)
		case err != nil:
			r.finish(loadFailed, report)
		default:
			r.finish(workerFull, report)
		}
	})
}

func (r *rpc) respond(m proto.Message, report oip.LoadReport) {
	raw, err := proto.Marshal(m)
	if err != nil {
		r.finish(outcome{status: grpc.Status{Code: grpc.Internal, Message: err.Error()}}, report)
		return
	}
	r.writeMessage(raw)
	r.finish(outcome{}, report)
}

func (r *rpc) writeMessage(raw []byte) {
	if !r.headersSent {
		r.headersSent = true
		_ = r.stream.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"},
			{Name: "content-type", Value: "application/grpc"}}, false)
	}
	_, _ = r.stream.Write(append(grpc.AppendPrefix(make([]byte, 0, len(raw)+grpc.PrefixLen), len(raw), false), raw...), false)
}

// message sends one message of an inference's answer.
func (r *rpc) sendInferResponse(j *job, n int) {
	if j.cancelled {
		return
	}
	in := &inference.ModelInferResponse{ModelName: j.model.Name, Id: j.callID,
		RawOutputContents: [][]byte{make([]byte, max(j.messageBytes, 0))},
		Parameters: map[string]*inference.InferParameter{"sequence": {
			ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: int64(n)}}}}
	var m proto.Message = in
	if j.streamed {
		m = &inference.ModelStreamInferResponse{InferResponse: in}
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return
	}
	r.writeMessage(raw)
}

// end sends the trailers.
func (r *rpc) finish(e outcome, report oip.LoadReport) {
	fields := e.status.Trailer()
	if e.admission != "" {
		fields = append(fields, hpack.Field{Name: oip.AdmissionField, Value: e.admission})
	}
	if report != oip.NoLoadReport {
		fields = append(fields, report.Trailer())
	}
	if r.headersSent {
		_ = r.stream.WriteTrailers(fields)
		return
	}
	_ = r.stream.WriteHeaders(append([]hpack.Field{{Name: ":status", Value: "200"},
		{Name: "content-type", Value: "application/grpc"}}, fields...), true)
}
