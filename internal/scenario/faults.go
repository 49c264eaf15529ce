package scenario

import (
	"maps"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
)

// pauseInterval is how often a pauses fault stops its workers.
const pauseInterval = time.Second

// throttleDelay is how long a throttled worker takes to reject a call.
const throttleDelay = 100 * time.Millisecond

// faultKind describes a kind of fault.
type faultKind struct {
	description string // says what share and magnitude mean
	// inject starts the fault and returns the function that ends it, or nil if the fault ends by itself.
	inject func(h *Harness, f Fault, class string) (end func())
}

// faultKinds holds the kinds of faults by their names in scenario files.
var faultKinds = map[string]faultKind{
	"balancer_roll": {"a share of the routers is killed and restarted, one after another during the fault",
		func(h *Harness, f Fault, _ string) func() { h.restartRouters(f); return nil }},
	"burst": {"traffic is magnitude times the usual",
		func(h *Harness, f Fault, _ string) func() {
			return override(h, &h.trafficMultiple, max(f.Magnitude, 0.1))
		}},
	"class_fail": {"a share of the workers responds to calls of the class with errors", (*Harness).injectClassFailure},
	"discovery_stale": {"updates of the endpoint list arrive magnitude seconds later than usual",
		func(h *Harness, f Fault, _ string) func() {
			return override(h, &h.extraListDelay, seconds(f.Magnitude))
		}},
	"flush": {"a share of the models gets a new release: their copies and cached images become outdated",
		(*Harness).injectRelease},
	"goaway": {"a share of the workers drains during the fault, and reports this only on its connections",
		(*Harness).injectConnectionDrain},
	"handshake_slow": {"new connections to a share of the workers wait magnitude seconds before their first call",
		(*Harness).injectSlowHandshake},
	"hang":       {"a share of the workers accepts calls but never responds", (*Harness).injectHang},
	"heavy_tail": {"a share of the class's calls has magnitude times the usual work", (*Harness).injectHeavyTail},
	"hot_key": {"a share of the calls goes to one model of each class that was not called before",
		func(h *Harness, f Fault, _ string) func() { return override(h, &h.newModelShare, f.Share) }},
	"mid_stream": {"a share of the workers dies during the next streamed response of the class, after magnitude messages",
		(*Harness).injectDeathMidStream},
	"neighbour": {"other programs use resources of a share of the workers: work takes magnitude times as long",
		(*Harness).injectSlowdown},
	"pauses": {"a share of the workers pauses for magnitude seconds, once per second", (*Harness).injectPauses},
	"preempt": {"a share of the workers is listed as draining and dies magnitude seconds later; replacements start cold",
		func(h *Harness, f Fault, _ string) func() { h.preemptWorkers(f); return nil }},
	"shift": {"a share of the traffic moves to one router permanently",
		func(h *Harness, f Fault, _ string) func() { override(h, &h.firstRouterShare, f.Share); return nil }},
	"slow": {"a share of the workers runs magnitude times slower", (*Harness).injectSlowdown},
	"store_stop": {"fetches from the store wait until the fault ends",
		func(h *Harness, f Fault, _ string) func() { h.store.Pause(f.Length.Duration()); return nil }},
	"throttle": {"a share of the workers rejects calls of the class above magnitude per second", (*Harness).injectThrottle},
	"vanish": {"a share of the workers dies without notice and restarts cold at the end of the fault",
		(*Harness).injectDeath},
}

// FaultKindNames returns the names of the kinds of faults in alphabetical order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(faultKinds)) }

// FaultDescription describes a kind of fault, including the meaning of its share and magnitude. It returns "" for an
// unknown kind.
func FaultDescription(kind string) string { return faultKinds[kind].description }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startFault injects a fault and schedules its end.
func (h *Harness) startFault(f Fault) {
	h.options.Logger.Info("fault injected", "kind", f.Kind, "share", f.Share, "magnitude", f.Magnitude, "class", f.Class)
	h.mu.Lock()
	h.activeFaults[f.Kind]++
	h.mu.Unlock()
	end := h.injectFault(f)
	h.afterFunc(f.Length.Duration(), func() {
		if end != nil {
			end()
		}
		h.mu.Lock()
		h.activeFaults[f.Kind]--
		h.mu.Unlock()
	})
}

// injectFault starts a fault and returns the function that ends it, or nil if it ends by itself.
func (h *Harness) injectFault(f Fault) (end func()) {
	kind, ok := faultKinds[f.Kind]
	if !ok {
		return nil
	}
	class := f.Class
	if class == "" {
		class = h.scenario.Classes[0].Name
	}
	return kind.inject(h, f, class)
}

// workerFault is a fault that is active at a worker. set changes the worker's faults; if several active faults change
// the same field, the one that started last takes effect.
type workerFault struct{ set func(*fakeworker.Faults) }

// injectWorkerFault starts a fault at a random share of the workers and returns the function that ends it.
func (h *Harness) injectWorkerFault(share float64, set func(*fakeworker.Faults)) (end func()) {
	return h.beginWorkerFault(h.randomWorkers(share), set)
}

// beginWorkerFault starts a fault at some workers and returns the function that ends it.
func (h *Harness) beginWorkerFault(workers []*fleetWorker, set func(*fakeworker.Faults)) (end func()) {
	fault := &workerFault{set}
	h.changeWorkerFaults(workers, func(active []*workerFault) []*workerFault { return append(active, fault) })
	return func() {
		h.changeWorkerFaults(workers, func(active []*workerFault) []*workerFault {
			return slices.DeleteFunc(active, func(other *workerFault) bool { return other == fault })
		})
	}
}

// changeWorkerFaults changes each worker's list of active faults, and applies the new list to the worker.
func (h *Harness) changeWorkerFaults(workers []*fleetWorker, change func([]*workerFault) []*workerFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range workers {
		w.faults = change(w.faults)
		w.worker.ChangeFaults(func(faults *fakeworker.Faults) {
			*faults = fakeworker.Faults{FailingClasses: map[string]bool{}, ThrottledClasses: map[string]float64{},
				DieAfterMessages: map[string]int{}}
			for _, fault := range w.faults {
				fault.set(faults)
			}
		})
	}
}

// heavyTail multiplies the work of a share of a class's calls.
type heavyTail struct{ share, multiple float64 }

func (h *Harness) injectHeavyTail(f Fault, class string) func() {
	h.mu.Lock()
	tails := h.heavyTails[class]
	if tails == nil {
		tails = &overridden[heavyTail]{}
		h.heavyTails[class] = tails
	}
	h.mu.Unlock()
	return override(h, tails, heavyTail{f.Share, f.Magnitude})
}

func (h *Harness) injectHang(f Fault, _ string) func() {
	workers := h.randomWorkers(f.Share)
	now := h.records.Now()
	h.mu.Lock()
	for _, w := range workers {
		h.hangs = append(h.hangs, hang{w.worker.ID(), now, now + f.Length.Duration()})
	}
	h.mu.Unlock()
	return h.beginWorkerFault(workers, func(faults *fakeworker.Faults) { faults.Hang = true })
}

func (h *Harness) injectSlowdown(f Fault, _ string) func() {
	return h.injectWorkerFault(f.Share, func(faults *fakeworker.Faults) { faults.Slowdown = f.Magnitude })
}

func (h *Harness) injectClassFailure(f Fault, class string) func() {
	return h.injectWorkerFault(f.Share, func(faults *fakeworker.Faults) { faults.FailingClasses[class] = true })
}

func (h *Harness) injectThrottle(f Fault, class string) func() {
	return h.injectWorkerFault(f.Share, func(faults *fakeworker.Faults) {
		faults.ThrottledClasses[class], faults.ThrottleDelay = f.Magnitude, throttleDelay
	})
}

func (h *Harness) injectSlowHandshake(f Fault, _ string) func() {
	delay := seconds(f.Magnitude)
	return h.injectWorkerFault(f.Share, func(faults *fakeworker.Faults) { faults.HandshakeDelay = delay })
}

// injectRelease makes the copies and cached images of some models outdated. It draws the models class by class in the
// scenario's order, so that the same seed always gives the same models.
func (h *Harness) injectRelease(f Fault, _ string) func() {
	h.mu.Lock()
	released := map[string]bool{}
	for _, c := range h.scenario.Classes {
		for i := range c.ModelCount {
			released[modelName(c.Name, i)] = h.rng.Float64() < f.Share
		}
	}
	workers := slices.Clone(h.workers)
	h.mu.Unlock()
	for _, w := range workers {
		w.worker.Invalidate(func(name string) bool { return released[name] })
	}
	return nil
}

func (h *Harness) injectPauses(f Fault, _ string) func() {
	workers := h.randomWorkers(f.Share)
	pause := seconds(f.Magnitude)
	for at := time.Duration(0); at < f.Length.Duration(); at += pauseInterval {
		h.afterFunc(at, func() {
			for _, w := range workers {
				w.worker.Pause(pause)
			}
		})
	}
	return nil
}

func (h *Harness) injectDeath(f Fault, _ string) func() {
	workers := h.randomWorkers(f.Share)
	killAll(workers)
	return func() { h.restartWorkers(workers) }
}

func killAll(workers []*fleetWorker) {
	for _, w := range workers {
		w.worker.Kill()
	}
}

func (h *Harness) injectDeathMidStream(f Fault, class string) func() {
	workers := h.randomWorkers(f.Share)
	end := h.beginWorkerFault(workers, func(faults *fakeworker.Faults) {
		faults.DieAfterMessages[class] = int(f.Magnitude)
	})
	return func() {
		end()
		h.restartWorkers(workers)
	}
}

func (h *Harness) injectConnectionDrain(f Fault, _ string) func() {
	workers := h.randomWorkers(f.Share)
	h.drainWorkers(workers, true)
	return func() { h.resumeWorkers(workers) }
}

// drainWorkers makes workers drain. With goAway, they report the drain on their connections.
func (h *Harness) drainWorkers(workers []*fleetWorker, goAway bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range workers {
		w.drainCount++
		w.worker.Drain(goAway)
	}
}

// resumeWorkers ends one drain of each worker. A worker resumes once none of the faults that made it drain is active.
func (h *Harness) resumeWorkers(workers []*fleetWorker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range workers {
		if w.drainCount--; w.drainCount == 0 {
			w.worker.Resume()
		}
	}
}

// preemptWorkers lists workers as draining, kills them after a notice period, and starts cold replacements.
func (h *Harness) preemptWorkers(f Fault) {
	workers := h.randomWorkers(f.Share)
	h.mu.Lock()
	for _, w := range workers {
		w.entry.State = stateDraining
	}
	h.mu.Unlock()
	h.drainWorkers(workers, false)
	h.publishEndpoints()
	notice := seconds(f.Magnitude)
	h.afterFunc(notice, func() { killAll(workers) })
	h.afterFunc(notice+f.Length.Duration()/2, func() { h.startReplacements(len(workers)) })
}

func (h *Harness) startReplacements(n int) {
	for range n {
		h.mu.Lock()
		index := h.workersStarted
		h.mu.Unlock()
		if err := h.startWorker(index, true); err != nil {
			h.options.Logger.Error("replacement worker not started", "error", err)
		}
	}
	h.publishEndpoints()
}
