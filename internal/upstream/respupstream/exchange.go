package respupstream

import (
	"slices"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
)

// exchangeKind is the kind of message that starts an exchange.
type exchangeKind int

// The kinds of exchanges.
const (
	kindAttempt exchangeKind = iota
	kindLoad
	kindHealthCheck
	kindCancel // has no response and no timeout, and its end is not reported
)

// exchange is one message to a worker and its response.
type exchange struct {
	pool         *Pool
	kind         exchangeKind
	id           string // in the messages of the exchange
	worker       *worker
	writeBefore  time.Time // deadline of the write
	sendLimits   router.SendLimits
	failedWrites int // on earlier connections, which did not accept the whole message
	createdAt    time.Time
	call         *router.Call                         // nil except for attempts
	encode       func(remaining time.Duration) []byte // returns the message, given the time until writeBefore
	done         func(dispatch.Result, *response)     // called once, without the lock; nil response means none came

	// Guarded by the pool's mutex.
	conn          *conn     // where it is queued or in flight; nil while it waits for a connection
	writtenAt     time.Time // start of the write; zero before
	partlyWritten bool      // the write has started, but the system has not accepted the whole message
	ended         bool
	connectedAt   time.Time   // when the connection that carried it was opened; set when it ends, zero if none did
	timer         *time.Timer // of load commands and health checks
}

// clientWaiting reports whether a client may still be waiting for the result. It is true for exchanges without a
// client.
func (x *exchange) clientWaiting() bool { return x.call == nil || x.call.ClientWaiting() }

// attemptHandle implements router.UpstreamAttempt.
type attemptHandle struct{ exchange *exchange }

// ForwardTo implements router.UpstreamAttempt. It does nothing: responses of this protocol are complete when they are
// reported.
func (h attemptHandle) ForwardTo(router.Client) {}

// Cancel implements router.UpstreamAttempt.
func (h attemptHandle) Cancel() { h.exchange.pool.cancel(h.exchange) }

// StartAttempt implements router.Upstream.
func (p *Pool) StartAttempt(token router.AttemptToken, call *router.Call, workerID string, _ int,
	limits router.SendLimits,
) router.UpstreamAttempt {
	request, _ := call.Request.(*invocation.Request)
	x := &exchange{pool: p, kind: kindAttempt, call: call, createdAt: time.Now(), sendLimits: limits}
	x.writeBefore = x.createdAt.Add(limits.Remaining)
	x.done = func(result dispatch.Result, received *response) {
		attemptResult := newAttemptResult(result, received)
		attemptResult.ConnectedAt = x.connectedAt
		p.router.AttemptEnded(token, attemptResult)
	}
	if request == nil { // a call of another protocol, which this one cannot carry
		x.ended = true
		x.done(dispatch.NotSent, nil)
		return attemptHandle{x}
	}
	x.id = request.ID
	x.encode = func(remaining time.Duration) []byte { return encodeAttempt(request, remaining) }
	p.start(x, workerID)
	return attemptHandle{x}
}

// newAttemptResult returns the result of an attempt for the router. received is nil if there was no response.
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

// LoadFunction implements router.Upstream. A load command that cannot be written within the connect timeout is not
// sent: if it were written later, it would count against another interval of the load rate limit.
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
func (p *Pool) CheckHealth(workerID string, timeout time.Duration, done func(router.HealthResult)) {
	x := &exchange{pool: p, kind: kindHealthCheck, writeBefore: time.Now().Add(timeout)}
	x.done = func(result dispatch.Result, received *response) {
		health := router.HealthResult{Result: result, Report: router.NoWorkerReport}
		if received != nil {
			health.Report = received.report
			health.Ready = received.status == statusReady
		}
		done(health)
	}
	x.encode = func(time.Duration) []byte { return encodeHealthCheck(x.id) }
	p.startWithTimeout(x, workerID, timeout)
}

// startWithTimeout starts a load command or a health check, which ends as TimedOut after timeout. The router itself
// times attempts.
func (p *Pool) startWithTimeout(x *exchange, workerID string, timeout time.Duration) {
	p.mu.Lock()
	p.assignControlID(x)
	p.startTimeout(x, timeout)
	p.mu.Unlock()
	p.start(x, workerID)
}

// assignControlID gives a load command or a health check an id that the pool has not used before. The lock is held.
func (p *Pool) assignControlID(x *exchange) {
	p.lastControlID++
	x.id = "q" + strconv.FormatUint(p.lastControlID, 10)
}

// startTimeout makes an exchange end as TimedOut after timeout. The lock is held.
func (p *Pool) startTimeout(x *exchange, timeout time.Duration) {
	x.timer = time.AfterFunc(timeout, func() {
		p.mu.Lock()
		callback := p.finish(x, dispatch.TimedOut, nil)
		p.mu.Unlock()
		runCallbacks(callback)
	})
}

// start looks up the worker by its id and assigns the exchange to a connection.
func (p *Pool) start(x *exchange, workerID string) {
	p.mu.Lock()
	x.worker = p.workers[workerID]
	callback := p.assignConn(x)
	p.mu.Unlock()
	runCallbacks(callback)
}

// finish ends an exchange. It returns the callback that reports the result, or nil if the exchange had already ended.
// The lock is held; the caller runs the callback without it.
func (p *Pool) finish(x *exchange, result dispatch.Result, received *response) func() {
	if x.ended {
		return nil
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	if c := x.conn; c != nil {
		if !x.writtenAt.IsZero() {
			x.connectedAt = c.openedAt
		}
		c.remove(x)
	} else if x.worker != nil {
		x.worker.waiting = slices.DeleteFunc(x.worker.waiting, func(other *exchange) bool { return other == x })
	}
	p.countEnd(x, result, received != nil)
	if received != nil && received.body != nil { // the router keeps the body, which is part of a read buffer
		kept := *received
		kept.body = append([]byte(nil), received.body...)
		received = &kept
	}
	return func() { x.done(result, received) }
}

// countEnd adds an exchange that has ended to the statistics. The lock is held.
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

// cancel ends an attempt that the router has cancelled. If the attempt was written, cancel sends a cancellation to
// the worker. If nothing was read from the connection since the attempt was written, the connection may be broken, so
// it accepts no new exchanges.
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

// newCancellation returns the exchange that cancels an attempt at its worker. It has no response.
func newCancellation(x *exchange) *exchange {
	id := x.id
	return &exchange{
		pool:   x.pool,
		kind:   kindCancel,
		worker: x.worker,
		encode: func(time.Duration) []byte { return encodeCancel(id) },
	}
}
