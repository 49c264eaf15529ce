package fakeworker

import (
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

const (
	failureDelay = 5 * time.Millisecond // before the response to a call of a failing class
	repeatDelay  = time.Millisecond     // before the response to a call whose idempotency key was run before

	// minCapacityShare bounds how much longer calls run at a worker that is warming up.
	minCapacityShare = 0.05
)

// Cache statuses, with the values that load reports use.
const (
	cacheHit = 1 + iota
	cacheLoadStarted
	cacheLoadJoined
	cacheLoadFailed
)

// outcome is the result of a call: its status, and why the worker rejected it. The zero value is success.
type outcome struct {
	status    grpc.Status
	admission string // value of oip.AdmissionField; empty if the call was not rejected
}

var (
	workerFull     = outcome{grpc.Status{Code: grpc.ResourceExhausted, Message: "worker is full"}, oip.AdmissionFull}
	workerDraining = outcome{grpc.Status{Code: grpc.Unavailable, Message: "worker drains"}, oip.AdmissionDraining}
	modelNotLoaded = outcome{grpc.Status{Code: grpc.NotFound, Message: "model is not loaded"}, oip.AdmissionNotResident}
	loadFailed     = outcome{grpc.Status{Code: grpc.Internal, Message: "load failed"}, ""}
	classFailing   = outcome{grpc.Status{Code: grpc.Internal, Message: "class fails here"}, ""}
)

// job is an inference call that the worker has received.
type job struct {
	callID, requestID, class, router string
	model                            Model
	work                             time.Duration // on a core of speed 1
	idempotencyKey                   string
	streamed                         bool
	messageCount, messageBytes       int
	rpc                              *rpc

	state         *modelState // nil until accepted
	assigned      *modelCopy  // the copy that runs the call; nil if none does
	othersAtModel int         // calls of the model that were queued or running when this one arrived
	cacheStatus   int
	started       bool // has been given a core
	cancelled     bool
	finished      bool        // ended, with or without a response
	timer         *time.Timer // ends the work, or sends the next message
}

// multipleMessages reports whether the response is a stream of messages, spread over the duration of the work.
func (j *job) multipleMessages() bool { return j.streamed && j.messageCount > 0 }

// accept queues a call that the worker has received, or rejects or fails it. w.mu is held.
func (w *Worker) accept(j *job) {
	w.record(invariants.Record{Kind: invariants.AttemptReceived, Call: j.callID, Request: j.requestID, Class: j.class,
		Router: j.router, Worker: w.config.ID})
	w.checkOverload(j.class)
	w.jobs[j] = struct{}{}
	switch {
	case w.overloaded || w.faults.Hang: // never answered
		return
	case w.draining:
		w.finish(j, workerDraining)
		return
	case w.faults.FailingClasses[j.class]:
		w.after(failureDelay, func() { w.finish(j, classFailing) })
		return
	case w.throttled(j.class):
		w.after(w.faults.ThrottleDelay, func() { w.finish(j, workerFull) })
		return
	}
	if !w.ensureModel(j) {
		return
	}
	j.state.pending = append(j.state.pending, j)
	w.assignCopies(j.state)
	if w.queueLength() > w.config.QueueLength && j.assigned == nil {
		w.removePending(j)
		w.finish(j, workerFull)
	}
}

// ensureModel finds the call's model, and starts to load it if no copy is loaded or loading. If the worker does
// not load it, ensureModel rejects the call and returns false. w.mu is held.
func (w *Worker) ensureModel(j *job) bool {
	m := w.modelState(j.model)
	j.state, j.othersAtModel = m, len(m.pending)
	loading := false
	for _, c := range m.copies {
		j.othersAtModel += c.running
		loading = loading || !c.loaded
	}
	switch {
	case m.loadedCopies() > 0:
		j.cacheStatus = cacheHit
	case loading:
		j.cacheStatus = cacheLoadJoined
	case !w.config.LoadsOnCacheMiss:
		j.cacheStatus = cacheHit // reported with the rejection
		w.finish(j, modelNotLoaded)
		return false
	case !w.startLoad(m):
		j.cacheStatus = cacheHit // reported with the rejection
		w.finish(j, workerFull)
		return false
	default:
		j.cacheStatus = cacheLoadStarted
	}
	return true
}

// queueLength counts the calls that wait for a copy or a core. w.mu is held.
func (w *Worker) queueLength() (n int) {
	for _, m := range w.models {
		n += len(m.pending)
	}
	return n + len(w.runnable)
}

// assignCopies assigns pending calls to copies below their concurrency limit, the least busy copy first. If calls
// remain and no copy is loading, it loads another copy, provided that Config.AddsCopies is set or none is loaded. w.mu
// is held.
func (w *Worker) assignCopies(m *modelState) {
	defer w.assignCores()
	for len(m.pending) > 0 {
		free, loading := m.freeCopy()
		if free == nil {
			if !loading && (w.config.AddsCopies || m.loadedCopies() == 0) {
				w.startLoad(m)
			}
			return
		}
		j := m.pending[0]
		m.pending = m.pending[1:]
		free.running++
		j.assigned = free
		w.runnable = append(w.runnable, j)
	}
}

// assignCores starts calls that are assigned to a copy, as long as cores are free. w.mu is held.
func (w *Worker) assignCores() {
	for w.running < w.config.Cores && len(w.runnable) > 0 {
		j := w.runnable[0]
		w.runnable = w.runnable[1:]
		w.running++
		w.run(j)
	}
}

// run starts the work of a call that has been given a core. w.mu is held.
func (w *Worker) run(j *job) {
	j.started = true
	if w.isRepeat(j) {
		w.after(repeatDelay, func() { w.complete(j) })
		return
	}
	w.record(invariants.Record{Kind: invariants.RunStarted, Call: j.callID, Request: j.requestID, Class: j.class,
		Router: j.router, Worker: w.config.ID})
	if w.faults.DieOnStart[j.class] {
		go w.Kill()
		return
	}
	workTime := w.workTime(j)
	if !j.multipleMessages() {
		j.timer = w.after(workTime, func() { w.complete(j) })
		return
	}
	interval := workTime / time.Duration(j.messageCount)
	j.timer = w.after(interval, func() { w.sendMessage(j, 0, interval) })
}

// isRepeat reports whether the call is answered without being run, because the deduplicator has seen its idempotency
// key. w.mu is held.
func (w *Worker) isRepeat(j *job) bool {
	return j.idempotencyKey != "" && w.config.DeduplicatedClasses[j.class] && w.config.Deduplicator != nil &&
		!w.config.Deduplicator.isFirst(j.idempotencyKey, w.config.DeduplicationWindow)
}

// workTime returns how long a call that starts now runs. w.mu is held.
func (w *Worker) workTime(j *job) time.Duration {
	slowdown := max(w.faults.Slowdown, 1)
	workTime := time.Duration(float64(j.work) * slowdown / (w.config.Speed * max(w.capacityShare(), minCapacityShare)))
	if pause := time.Until(w.pausedUntil); pause > 0 {
		workTime += pause
	}
	return workTime
}

// sendMessage sends message n of a streamed response and schedules the next one. w.mu is held.
func (w *Worker) sendMessage(j *job, n int, interval time.Duration) {
	if j.finished {
		w.release(j)
		return
	}
	if last, ok := w.faults.DieAfterMessages[j.class]; ok && n == last {
		go w.Kill()
		return
	}
	if n == j.messageCount {
		w.complete(j)
		return
	}
	j.rpc.sendInferResponse(j, n)
	j.timer = w.after(interval, func() { w.sendMessage(j, n+1, interval) })
}

// complete ends a call's work and sends its result. w.mu is held.
func (w *Worker) complete(j *job) {
	if !j.finished {
		if !j.multipleMessages() {
			j.rpc.sendInferResponse(j, 0)
		}
		w.finish(j, outcome{})
	}
	w.release(j)
}

// release frees a call's core and its share of a copy's concurrency, and assigns both to waiting calls. w.mu is held.
func (w *Worker) release(j *job) {
	c := j.assigned
	if c == nil {
		return
	}
	j.assigned = nil
	w.running--
	c.running--
	c.idleSince = time.Now()
	if c.running == 0 {
		if c.outdated {
			j.state.unload(c)
		} else {
			w.unloadWhenIdle(j.state, c)
		}
	}
	w.assignCopies(j.state)
	w.assignCores()
}

// finish ends a call and, unless it was cancelled, sends its outcome. Only the first outcome counts. w.mu is held.
func (w *Worker) finish(j *job, o outcome) {
	if j.finished {
		return
	}
	j.finished = true
	delete(w.jobs, j)
	if !j.cancelled {
		j.rpc.finish(o, w.loadReport(j))
	}
}

// cancel removes a call that is waiting. A call that is running is stopped if Config.StopsCancelledWork is set;
// otherwise it runs to its end without a response. w.mu is held.
func (w *Worker) cancel(j *job) {
	j.cancelled = true
	if j.finished {
		return
	}
	if !j.started {
		w.removePending(j)
		w.finish(j, outcome{})
		return
	}
	if w.config.StopsCancelledWork && j.assigned != nil {
		if j.timer != nil {
			j.timer.Stop()
		}
		w.finish(j, outcome{})
		w.release(j)
	}
}

// removePending removes a call that waits for a copy or a core from its queue. w.mu is held.
func (w *Worker) removePending(j *job) {
	if j.state == nil {
		return
	}
	if i := slices.Index(j.state.pending, j); i >= 0 {
		j.state.pending = slices.Delete(j.state.pending, i, i+1)
		return
	}
	if i := slices.Index(w.runnable, j); i >= 0 {
		w.runnable = slices.Delete(w.runnable, i, i+1)
		j.assigned.running--
		j.assigned = nil
	}
}

// loadReport returns the load report for a response. j is the inference call that it answers, or nil. w.mu is held.
func (w *Worker) loadReport(j *job) oip.LoadReport {
	report := oip.NoLoadReport
	if !w.config.ReportsLoad {
		return report
	}
	report.InFlight, report.Queued = float64(len(w.jobs)), float64(w.queueLength())
	report.Loading = float64(w.loading + len(w.pendingLoads))
	if j != nil {
		report.FunctionInFlight, report.CacheStatus = float64(j.othersAtModel), j.cacheStatus
		if j.state != nil {
			report.Copies = float64(j.state.loadedCopies())
		}
	}
	return report
}
