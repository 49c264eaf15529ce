package fakeworker

import (
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// Faults are the faults of a worker. A restart does not end them.
type Faults struct {
	Hang             bool               // accepts calls but does not answer them
	Slowdown         float64            // calls run this many times as long; below 1 means no slowdown
	FailingClasses   map[string]bool    // calls of these classes fail
	ThrottledClasses map[string]float64 // calls of these classes are rejected above this rate per second,
	ThrottleDelay    time.Duration      // after this delay
	HandshakeDelay   time.Duration      // delay of the first call on a connection
	DieAfterMessages map[string]int     // a streamed call of these classes kills the worker after this many messages
	DieOnStart       map[string]bool    // a call of these classes kills the worker when it starts to run
	RefuseStreams    bool               // streams are reset with REFUSED_STREAM
	FailLoads        bool               // loads of models fail
}

// ChangeFaults changes the worker's faults; change must not call the worker.
func (w *Worker) ChangeFaults(change func(*Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Pause delays the end of calls that start within d from now by what is left of d.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedUntil = time.Now().Add(d)
}

// Drain makes the worker reject new calls and complete those that it has. With goAway it also sends GOAWAY on its
// connections.
func (w *Worker) Drain(goAway bool) {
	w.mu.Lock()
	w.draining = true
	server := w.server
	var notified []string
	if goAway {
		for _, router := range w.routers {
			notified = append(notified, router)
		}
	}
	w.mu.Unlock()
	if goAway {
		server.DrainConns()
		for _, router := range notified {
			w.record(invariants.Record{Kind: invariants.WorkerDraining, Worker: w.config.ID, Router: router})
		}
	}
}

// Resume ends a drain.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = false
}

// throttled reports whether a call is to be rejected because its class is throttled. Otherwise it counts the call
// towards the limit. w.mu is held.
func (w *Worker) throttled(class string) bool {
	rate, ok := w.faults.ThrottledClasses[class]
	if !ok {
		return false
	}
	now := time.Now()
	recent := w.recentArrivals[class]
	for len(recent) > 0 && now.Sub(recent[0]) > time.Second {
		recent = recent[1:]
	}
	if float64(len(recent)) >= rate {
		w.recentArrivals[class] = recent
		return true
	}
	w.recentArrivals[class] = append(recent, now)
	return false
}
