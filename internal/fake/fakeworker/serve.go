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
type link struct{ w *Worker }

// Open implements http2.Handler.
func (l link) Open(s *http2.Stream) http2.Receiver {
	return &reply{w: l.w, s: s, reader: grpc.MessageReader{MaxSize: 64 << 20}}
}

// GoAway implements http2.Handler.
func (l link) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (l link) ConnClosed(c *http2.Conn, _ error) {
	l.w.mu.Lock()
	delete(l.w.routers, c)
	l.w.mu.Unlock()
}

// reply is one stream: it reads a request and carries the answer.
type reply struct {
	w      *Worker
	s      *http2.Stream
	path   string
	router string
	enc    string
	reader grpc.MessageReader
	body   []byte
	job    *job
	begun  bool
}

// Headers implements http2.Receiver.
func (r *reply) Headers(s *http2.Stream, fields []hpack.Field, end bool) {
	if r.path != "" {
		return
	}
	r.path, _ = grpc.FieldValue(fields, ":path")
	r.router, _ = grpc.FieldValue(fields, grpcupstream.RouterField)
	r.enc, _ = grpc.FieldValue(fields, "grpc-encoding")
	r.w.mu.Lock()
	first := r.w.routers[s.Conn()] == ""
	r.w.routers[s.Conn()] = r.router
	refuse, wait := r.w.faults.RefuseNew, time.Duration(0)
	if first {
		wait = r.w.faults.Handshake
	}
	r.w.mu.Unlock()
	if refuse {
		s.Reset(http2.RefusedStream)
		return
	}
	if wait > 0 {
		time.Sleep(wait) // the reading goroutine of this connection is held: its handshake is slow
	}
	if end {
		r.whole()
	}
}

// Data implements http2.Receiver.
func (r *reply) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	for len(p) > 0 {
		m, rest, err := r.reader.Next(p)
		if err != nil {
			s.Reset(http2.ProtocolError)
			return
		}
		if m != nil && r.body == nil {
			b, err := grpc.MessageBody(m, r.enc, 64<<20)
			if err != nil {
				s.Reset(http2.ProtocolError)
				return
			}
			r.body = append([]byte{}, b...)
		}
		p = rest
	}
	if end {
		r.whole()
	}
}

// Sent implements http2.Receiver.
func (r *reply) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (r *reply) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.job != nil {
		r.w.cancel(r.job)
	}
}

// whole acts on a request that is whole.
func (r *reply) whole() {
	w := r.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	switch r.path {
	case oip.Infer, oip.StreamInfer:
		var m inference.ModelInferRequest
		if err := proto.Unmarshal(r.body, &m); err != nil || m.ModelName == "" {
			r.end(ending{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}, oip.NoLoadReport)
			return
		}
		r.job = jobOf(&m, r)
		w.arrive(r.job)
	case oip.Load:
		var m inference.RepositoryModelLoadRequest
		if err := proto.Unmarshal(r.body, &m); err != nil {
			r.end(ending{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}, oip.NoLoadReport)
			return
		}
		r.load(&m)
	case oip.ServerReady:
		if w.faults.Hang || w.fallen {
			return
		}
		if !w.draining {
			w.record(invariants.Record{Kind: invariants.Ready, Worker: w.cfg.ID, Router: r.router})
		}
		r.unary(&inference.ServerReadyResponse{Ready: !w.draining}, w.report(nil))
	case oip.Index:
		out := &inference.RepositoryIndexResponse{}
		for name, at := range w.models {
			if at.loaded() > 0 {
				out.Models = append(out.Models, &inference.RepositoryIndexResponse_ModelIndex{Name: name, State: "READY"})
			}
		}
		r.unary(out, oip.NoLoadReport)
	case oip.Unload:
		var m inference.RepositoryModelUnloadRequest
		if proto.Unmarshal(r.body, &m) == nil && w.models[m.ModelName] != nil {
			at := w.models[m.ModelName]
			for _, c := range append([]*copyOf(nil), at.copies...) {
				if c.loaded && c.running == 0 {
					at.unload(c)
				}
			}
		}
		r.unary(&inference.RepositoryModelUnloadResponse{}, oip.NoLoadReport)
	case oip.ServerLive:
		r.unary(&inference.ServerLiveResponse{Live: true}, oip.NoLoadReport)
	default:
		r.end(ending{status: grpc.Status{Code: grpc.Unimplemented, Message: "no call " + r.path}}, oip.NoLoadReport)
	}
}

func jobOf(m *inference.ModelInferRequest, r *reply) *job {
	number := func(name string, or float64) float64 {
		switch v := m.Parameters[name].GetParameterChoice().(type) {
		case *inference.InferParameter_Int64Param:
			return float64(v.Int64Param)
		case *inference.InferParameter_DoubleParam:
			return v.DoubleParam
		}
		return or
	}
	j := &job{call: m.Id, request: m.Parameters[ParamRequest].GetStringParam(), router: r.router, reply: r,
		class: m.Parameters[oip.ParamClass].GetStringParam(), key: m.Parameters[oip.ParamIdempotencyKey].GetStringParam(),
		model: Model{Name: m.ModelName, MemoryMB: number(oip.ParamMemoryMB, 100), Lanes: int(number(oip.ParamConcurrency, 1)),
			Load: time.Duration(number(oip.ParamLoadMS, 0) * float64(time.Millisecond))},
		work:     time.Duration(number(ParamWorkMS, 1) * float64(time.Millisecond)),
		streamed: r.path == oip.StreamInfer, messages: int(number(ParamMessages, 1)), bytes: int(number(ParamBytes, 16))}
	if m.ModelVersion != "" {
		j.model.Name += "@" + m.ModelVersion
	}
	if j.class == "" {
		j.class = r.w.cfg.Models[j.model.Name].Class
	}
	return j
}

// load acts on a load order.
func (r *reply) load(m *inference.RepositoryModelLoadRequest) {
	w := r.w
	copies := int(m.Parameters[oip.ParamCopies].GetInt64Param())
	w.record(invariants.Record{Kind: invariants.Ordered, Router: r.router, Worker: w.cfg.ID, Request: m.ModelName, Copies: copies})
	switch {
	case w.faults.Hang || w.fallen:
		return
	case w.draining && copies > 0:
		r.end(drains, w.report(nil))
		return
	}
	name := m.ModelName
	if v := m.Parameters["version"].GetStringParam(); v != "" {
		name += "@" + v
	}
	at := w.model(Model{Name: name, MemoryMB: 100, Lanes: 1})
	w.order(at.Model, copies, func(ok bool, n int, err error) {
		report := w.report(nil)
		report.Copies = float64(n)
		switch {
		case ok:
			r.unary(&inference.RepositoryModelLoadResponse{}, report)
		case err != nil:
			r.end(loadFail, report)
		default:
			r.end(full, report)
		}
	})
}

func (r *reply) unary(m proto.Message, report oip.LoadReport) {
	raw, err := proto.Marshal(m)
	if err != nil {
		r.end(ending{status: grpc.Status{Code: grpc.Internal, Message: err.Error()}}, report)
		return
	}
	r.write(raw)
	r.end(ending{}, report)
}

func (r *reply) write(raw []byte) {
	if !r.begun {
		r.begun = true
		_ = r.s.WriteHeaders([]hpack.Field{{Name: ":status", Value: "200"},
			{Name: "content-type", Value: "application/grpc"}}, false)
	}
	_, _ = r.s.Write(append(grpc.AppendPrefix(make([]byte, 0, len(raw)+grpc.PrefixLen), len(raw), false), raw...), false)
}

// message sends one message of an inference's answer.
func (r *reply) message(j *job, n int) {
	if j.cancelled {
		return
	}
	in := &inference.ModelInferResponse{ModelName: j.model.Name, Id: j.call,
		RawOutputContents: [][]byte{make([]byte, max(j.bytes, 0))},
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
	r.write(raw)
}

// end sends the trailers.
func (r *reply) end(e ending, report oip.LoadReport) {
	fields := e.status.Trailers()
	if e.admission != "" {
		fields = append(fields, hpack.Field{Name: oip.AdmissionField, Value: e.admission})
	}
	if report != oip.NoLoadReport {
		fields = append(fields, report.Trailer())
	}
	if r.begun {
		_ = r.s.WriteTrailers(fields)
		return
	}
	_ = r.s.WriteHeaders(append([]hpack.Field{{Name: ":status", Value: "200"},
		{Name: "content-type", Value: "application/grpc"}}, fields...), true)
}
