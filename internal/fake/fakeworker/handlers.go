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

// Request parameters by which a client tells a fake worker how to simulate the call. The gateway passes them through.
const (
	ParamRequest  = "sim_request"  // string: the request's ID, the same for all calls that retry it
	ParamWorkMS   = "sim_work_ms"  // double: actual work in milliseconds on a core of speed 1
	ParamMessages = "sim_messages" // int64: number of messages of a streamed response
	ParamBytes    = "sim_bytes"    // int64: size of each message's output in bytes
)

// Defaults for models and parameters that neither the worker's settings nor the call specify.
const (
	defaultMemoryMB     = 100
	defaultConcurrency  = 1
	defaultWorkMS       = 1
	defaultMessages     = 1
	defaultMessageBytes = 16
)

var badRequest = outcome{status: grpc.Status{Code: grpc.InvalidArgument, Message: "bad request message"}}

// handle handles a complete request. A worker that was killed drops it.
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

// newJob makes a job from the parameters of a call.
func newJob(m *inference.ModelInferRequest, r *rpc) *job {
	j := &job{
		callID:    m.Id,
		requestID: m.Parameters[ParamRequest].GetStringParam(),
		class:     m.Parameters[oip.ParamClass].GetStringParam(),
		router:    r.router,
		rpc:       r,
		model: Model{
			Name:                   m.ModelName,
			MemoryMB:               numberParameter(m, oip.ParamMemoryMB, defaultMemoryMB),
			ConcurrencyPerInstance: int(numberParameter(m, oip.ParamConcurrency, defaultConcurrency)),
			LoadTime:               milliseconds(numberParameter(m, oip.ParamLoadMS, 0)),
		},
		work:           milliseconds(numberParameter(m, ParamWorkMS, defaultWorkMS)),
		idempotencyKey: m.Parameters[oip.ParamIdempotencyKey].GetStringParam(),
		streamed:       r.path == oip.StreamInfer,
		messageCount:   int(numberParameter(m, ParamMessages, defaultMessages)),
		messageBytes:   int(numberParameter(m, ParamBytes, defaultMessageBytes)),
	}
	if m.ModelVersion != "" {
		j.model.Name += "@" + m.ModelVersion
	}
	if j.class == "" {
		j.class = r.worker.config.Models[j.model.Name].Class
	}
	return j
}

// numberParameter returns a parameter's value, or the fallback if it is missing or not a number.
func numberParameter(m *inference.ModelInferRequest, name string, fallback float64) float64 {
	switch v := m.Parameters[name].GetParameterChoice().(type) {
	case *inference.InferParameter_Int64Param:
		return float64(v.Int64Param)
	case *inference.InferParameter_DoubleParam:
		return v.DoubleParam
	}
	return fallback
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// handleLoad handles a load command. It responds once the copies are loaded or their load has failed.
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

// handleUnload unloads the idle copies of a model.
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

// handleReady responds whether the worker accepts calls. A worker that hangs or has failed under load does not respond.
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
