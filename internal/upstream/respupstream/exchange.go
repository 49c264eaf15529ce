package respupstream

import (
	"slices"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
)

// exchangeKind is the kind of an exchange.
type exchangeKind int

// The kinds of exchanges.
const (
	kindAttempt exchangeKind = iota
	kindLoad
	kindHealthCheck
	kindCancel // has no response, no timeout and no end
)

// exchange is one message to a worker and its response.
type exchange struct {
	pool           *Pool
	kind           exchangeKind
	id             string // on the wire
	worker         *worker
	writeBefore    time.Time // not written after it
	sendLimits     router.SendLimits
	rejectedWrites int // connections that did not accept it whole
	createdAt      time.Time
	call           *router.Call // of an attempt, else nil
	encode         func(left time.Duration) []byte
	done           func(dispatch.Result, *response) // called once, without the lock; nil response: none came

	// Under the pool's lock.
	conn          *conn     // on which it is queued or in flight
	writtenAt     time.Time // zero until the write starts
	partlyWritten bool      // the write has started, and the system has not accepted the whole message
	ended         bool
	timer         *time.Timer // of load commands and health checks
}

// clientWaiting reports whether the result may still be of use to a client. Only attempts have one.
func (x *exchange) clientWaiting() bool { return x.call == nil || x.call.ClientWaiting() }

// handle implements router.UpstreamAttempt.
type handle struct{ exchange *exchange }

// ForwardTo implements router.UpstreamAttempt. Responses of this protocol are complete when they are reported, so there is
// nothing to forward.
func (h handle) ForwardTo(router.Client) {}

// Cancel implements router.UpstreamAttempt.
func (h handle) Cancel() { h.exchange.pool.cancel(h.exchange) }

// StartAttempt implements router.Upstream.
func (p *Pool) StartAttempt(token router.AttemptToken, call *router.Call, workerID string, _ int,
	limits router.SendLimits,
) router.UpstreamAttempt {
	request, _ := call.Request.(*invocation.Request)
	x := &exchange{pool: p, kind: kindAttempt, call: call, createdAt: time.Now(), sendLimits: limits}
	x.writeBefore = x.createdAt.Add(limits.Remaining)
	x.done = func(result dispatch.Result, received *response) {
		p.router.AttemptEnded(token, newAttemptResult(result, received))
	}
	if request == nil { // the call came over another protocol
		x.ended = true
		x.done(dispatch.NotSent, nil)
		return handle{x}
	}
	x.id = request.ID
	x.encode = func(left time.Duration) []byte { return encodeAttempt(request, left) }
	p.start(x, workerID)
	return handle{x}
}

// newAttemptResult returns the router's form of an attempt's end. received is nil if there was no response.
func newAttemptResult(result dispatch.Result, received *response) router.AttemptResult {
	if received == nil {
		return router.AttemptResult{Result: result, Report: router.NoWorkerReport}
	}
	attemptResult := router.AttemptResult{Result: result, Report: received.report}
	if result == dispatch.OK {
		attemptResult.Body = received.body
	}
	return attemptResult
}

// LoadFunction implements router.Upstream. A load command that cannot be written within the connect timeout is not written
// at all. Written late, it would count against another interval of the load rate limit.
func (p *Pool) LoadFunction(workerID, function string, copies int, limits router.SendLimits, done func(router.LoadResult)) {
	x := &exchange{pool: p, kind: kindLoad, sendLimits: limits,
		writeBefore: time.Now().Add(min(limits.Remaining, p.config.ConnectTimeout))}
	x.done = func(result dispatch.Result, received *response) {
		loaded := router.LoadResult{Result: result}
		if received != nil {
			loaded.Copies = received.copies
		}
		done(loaded)
	}
	x.encode = func(time.Duration) []byte { return encodeLoad(x.id, function, copies) }
	p.startWithTimeout(x, workerID, limits.Remaining)
}

// CheckHealth implements router.Upstream.
func (p *Pool) CheckHealth(workerID string, limit time.Duration, done func(router.HealthResult)) {
	x := &exchange{pool: p, kind: kindHealthCheck, writeBefore: time.Now().Add(limit)}
	x.done = func(result dispatch.Result, received *response) {
		health := router.HealthResult{Result: result, Report: router.NoWorkerReport}
		if received != nil {
			health.Report = received.report
			health.Ready = received.status == statusReady
		}
		done(health)
	}
	x.encode = func(time.Duration) []byte { return encodeHealthCheck(x.id) }
	p.startWithTimeout(x, workerID, limit)
}

// startWithTimeout starts a load command or a health check, which ends as TimedOut after limit. Attempts are timed by the
// router instead.
func (p *Pool) startWithTimeout(x *exchange, workerID string, limit time.Duration) {
	p.mu.Lock()
	p.lastControlID++
	x.id = "q" + strconv.FormatUint(p.lastControlID, 10)
	x.timer = time.AfterFunc(limit, func() {
		p.mu.Lock()
		callback := p.finish(x, dispatch.TimedOut, nil)
		p.mu.Unlock()
		runCallbacks(callback)
	})
	p.mu.Unlock()
	p.start(x, workerID)
}

// start resolves the worker by its id and assigns the exchange to a connection.
func (p *Pool) start(x *exchange, workerID string) {
	p.mu.Lock()
	x.worker = p.workers[workerID]
	callback := p.assignConn(x)
	p.mu.Unlock()
	runCallbacks(callback)
}

// finish ends an exchange, once: further calls return nil. The lock is held. The returned callback reports the result and
// must be run without the lock.
func (p *Pool) finish(x *exchange, result dispatch.Result, received *response) func() {
	if x.ended {
		return nil
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	if c := x.conn; c != nil {
		c.remove(x)
	} else if x.worker != nil {
		x.worker.waiting = slices.DeleteFunc(x.worker.waiting, func(other *exchange) bool { return other == x })
	}
	p.countEnd(x, result, received != nil)
	if received != nil && received.body != nil { // the body is part of a read buffer, and the router keeps it
		kept := *received
		kept.body = append([]byte(nil), received.body...)
		received = &kept
	}
	return func() { x.done(result, received) }
}

// countEnd counts an exchange that has ended in the statistics. The lock is held.
func (p *Pool) countEnd(x *exchange, result dispatch.Result, answered bool) {
	switch {
	case x.writtenAt.IsZero():
		p.stats.NeverWritten++
	case answered:
		p.stats.Answered++
		if x.kind == kindAttempt && result == dispatch.OK {
			p.stats.QueueTime += x.writtenAt.Sub(x.createdAt)
			p.stats.ResponseTime += time.Since(x.writtenAt)
		}
	}
}

// cancel ends an attempt that the router no longer wants. If it was written, a cancellation is sent to the worker. A
// connection on which nothing was read since then may be broken, so it accepts nothing new.
func (p *Pool) cancel(x *exchange) {
	p.mu.Lock()
	result := dispatch.Cancelled
	if x.writtenAt.IsZero() {
		result = dispatch.NotSent
	}
	c := x.conn
	inFlight := c != nil && !x.ended && !x.writtenAt.IsZero()
	callback := p.finish(x, result, nil)
	if inFlight {
		p.stats.CancelledInFlight++
		if c.lastReadAt.Before(x.writtenAt) {
			c.drain()
		}
		c.enqueue(newCancellation(x))
	}
	p.mu.Unlock()
	runCallbacks(callback)
}

// newCancellation returns the message that cancels an attempt at its worker. It has no response.
func newCancellation(x *exchange) *exchange {
	id := x.id
	return &exchange{
		pool:   x.pool,
		kind:   kindCancel,
		worker: x.worker,
		encode: func(time.Duration) []byte { return encodeCancel(id) },
	}
}
