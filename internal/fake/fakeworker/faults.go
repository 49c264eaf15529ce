package fakeworker

import (
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// Faults are what may be wrong with a worker. They outlast a restart.
type Faults struct {
	Hang             bool               // accepts calls and answers none
	Slowdown         float64            // work takes this many times as long; 0: as usual
	FailingClasses   map[string]bool    // calls of these classes get errors
	ThrottledClasses map[string]float64 // calls of these classes are rejected above so many a second,
	ThrottleDelay    time.Duration      // after this delay
	HandshakeDelay   time.Duration      // a new connection's first call waits this long
	DieAfterMessages map[string]int     // a streamed call of these classes kills the worker after so many messages
	DieOnStart       map[string]bool    // a call of these classes kills the worker as it starts to run
	RefuseStreams    bool               // streams are refused with REFUSED_STREAM
	FailLoads        bool               // loads fail
}

// ChangeFaults changes the worker's faults; change must not call the worker.
func (w *Worker) ChangeFaults(change func(*Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Pause makes jobs that start within d wait until it is over.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedUntil = time.Now().Add(d)
}

// Drain makes the worker reject new calls; what it has is completed. With goAway it reports so on its connections.
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

// throttled reports whether a call of a class is to be rejected, and counts it otherwise. w.mu is held.
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
