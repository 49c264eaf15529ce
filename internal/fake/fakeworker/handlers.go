package fakeworker

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// Parameters by which a client describes the true call to a fake worker. The gateway passes them through.
const (
	ParamRequest  = "sim_request"  // string: the request's name, the same for all calls that repeat it
	ParamWorkMS   = "sim_work_ms"  // double: true work on a core of speed 1
	ParamMessages = "sim_messages" // int64: messages of a streamed answer
	ParamBytes    = "sim_bytes"    // int64: bytes of each
)

// Of models that neither the worker's settings nor a call describe.
const (
	defaultMemoryMB     = 100
	defaultConcurrency  = 1
	defaultWorkMS       = 1
	defaultMessages     = 1
	defaultMessageBytes = 16
)

var badRequest = outcome{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}

// handle acts on a complete request. A worker that was killed drops it.
func (r *rpc) handle() {
	w := r.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	switch r.path {
	case oip.Infer, oip.StreamInfer:
		r.handleInfer()
	case oip.Load:
		r.handleLoad()
	case oip.Unload:
		r.handleUnload()
	case oip.ServerReady:
		r.handleReady()
	case oip.Index:
		r.handleIndex()
	case oip.ServerLive:
		r.respond(&inference.ServerLiveResponse{Live: true}, oip.NoLoadReport)
	default:
		r.finish(outcome{status: grpc.Status{Code: grpc.Unimplemented, Message: "no call " + r.path}}, oip.NoLoadReport)
	}
}

func (r *rpc) handleInfer() {
	var m inference.ModelInferRequest
	if err := proto.Unmarshal(r.body, &m); err != nil || m.ModelName == "" {
		r.finish(badRequest, oip.NoLoadReport)
		return
	}
	r.job = newJob(&m, r)
	r.worker.accept(r.job)
}

// newJob reads the call's parameters.
func newJob(m *inference.ModelInferRequest, r *rpc) *job {
	j := &job{
		callID:    m.Id,
		requestID: m.Parameters[ParamRequest].GetStringParam(),
		class:     m.Parameters[oip.ParamClass].GetStringParam(),
		router:    r.router,
		rpc:       r,
		model: Model{
			Name:                   m.ModelName,
			MemoryMB:               number(m, oip.ParamMemoryMB, defaultMemoryMB),
			ConcurrencyPerInstance: int(number(m, oip.ParamConcurrency, defaultConcurrency)),
			LoadTime:               milliseconds(number(m, oip.ParamLoadMS, 0)),
		},
		work:           milliseconds(number(m, ParamWorkMS, defaultWorkMS)),
		idempotencyKey: m.Parameters[oip.ParamIdempotencyKey].GetStringParam(),
		streamed:       r.path == oip.StreamInfer,
		messageCount:   int(number(m, ParamMessages, defaultMessages)),
		messageBytes:   int(number(m, ParamBytes, defaultMessageBytes)),
	}
	if m.ModelVersion != "" {
		j.model.Name += "@" + m.ModelVersion
	}
	if j.class == "" {
		j.class = r.worker.config.Models[j.model.Name].Class
	}
	return j
}

// number is a parameter's value, or the fallback where it is missing or no number.
func number(m *inference.ModelInferRequest, name string, fallback float64) float64 {
	switch v := m.Parameters[name].GetParameterChoice().(type) {
	case *inference.InferParameter_Int64Param:
		return float64(v.Int64Param)
	case *inference.InferParameter_DoubleParam:
		return v.DoubleParam
	}
	return fallback
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// handleLoad acts on a load command, and answers once the copies are loaded or it is clear that they won't be.
func (r *rpc) handleLoad() {
	w := r.worker
	var m inference.RepositoryModelLoadRequest
	if err := proto.Unmarshal(r.body, &m); err != nil {
		r.finish(badRequest, oip.NoLoadReport)
		return
	}
	copies := int(m.Parameters[oip.ParamCopies].GetInt64Param())
	w.record(invariants.Record{Kind: invariants.LoadCommandReceived, Router: r.router, Worker: w.config.ID,
		Request: m.ModelName, Copies: copies})
	switch {
	case w.faults.Hang || w.overloaded:
		return
	case w.draining && copies > 0:
		r.finish(workerDraining, w.loadReport(nil))
		return
	}
	name := m.ModelName
	if version := m.Parameters["version"].GetStringParam(); version != "" {
		name += "@" + version
	}
	state := w.modelState(Model{Name: name, MemoryMB: defaultMemoryMB, ConcurrencyPerInstance: defaultConcurrency})
	w.ensureCopies(state.Model, copies, func(ok bool, copies int, err error) {
		report := w.loadReport(nil)
		report.Copies = float64(copies)
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

// handleUnload unloads a model's idle copies.
func (r *rpc) handleUnload() {
	var m inference.RepositoryModelUnloadRequest
	if proto.Unmarshal(r.body, &m) == nil {
		if state := r.worker.models[m.ModelName]; state != nil {
			for _, c := range slices.Clone(state.copies) {
				if c.loaded && c.running == 0 {
					state.unload(c)
				}
			}
		}
	}
	r.respond(&inference.RepositoryModelUnloadResponse{}, oip.NoLoadReport)
}

// handleReady answers whether the worker takes calls; one that hangs or failed under load does not answer.
func (r *rpc) handleReady() {
	w := r.worker
	if w.faults.Hang || w.overloaded {
		return
	}
	if !w.draining {
		w.record(invariants.Record{Kind: invariants.WorkerReady, Worker: w.config.ID, Router: r.router})
	}
	r.respond(&inference.ServerReadyResponse{Ready: !w.draining}, w.loadReport(nil))
}

// handleIndex lists the models that have a loaded copy.
func (r *rpc) handleIndex() {
	index := &inference.RepositoryIndexResponse{}
	for name, m := range r.worker.models {
		if m.loadedCopies() > 0 {
			index.Models = append(index.Models, &inference.RepositoryIndexResponse_ModelIndex{Name: name, State: "READY"})
		}
	}
	r.respond(index, oip.NoLoadReport)
}
