package fakeplatform

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// DefaultRouter is the default name, in the records, of the router that connects to a worker's first address.
const DefaultRouter = "r"

// maxUnreadArrivals is the capacity of the channel of Worker.Arrivals. While it is full, values are dropped.
const maxUnreadArrivals = 1 << 16

// Worker is a fake worker. Its exported fields must be set before Start.
type Worker struct {
	ID                string
	Router            string          // that connects to the first address, by name; "" means DefaultRouter
	Records           *invariants.Log // nil means that nothing is recorded
	WorkDuration      time.Duration   // how long each request runs
	DeduplicatedClass string          // class whose repeated idempotency keys are not run again
	ExecutedKeys      *KeySet         // of the workers that don't run each other's keys again; nil means this worker only
	// Handle handles a message. It is called on the connection's goroutine. If it is nil, HandleHealthy handles each
	// message on a separate goroutine.
	Handle func(r Request)

	listener net.Listener
	arrivals chan struct{} // receives a value for each message
	keys     *KeySet
	wg       sync.WaitGroup // of all goroutines; Stop waits for it

	mu        sync.Mutex // guards what follows
	stopped   bool
	draining  bool
	listeners []net.Listener // the first one and those of AddRouter
	conns     map[*Conn]struct{}
	accepted  int // number of connections since the worker was created
	received  []Request
	inFlight  map[string]int // number of running requests, by function
}

// ConnFault is a way in which a worker ends or stalls a connection.
type ConnFault int

// Faults of connections.
const (
	CloseConn ConnFault = iota // orderly close
	ResetConn                  // reset, as after the death of the worker's process
	HangConn                   // the connection stays open, but messages are ignored and nothing is written
)

// Conn is one connection to a worker. WriteMessage and WriteRaw may be called from any goroutine.
type Conn struct {
	net.Conn
	Router  string      // name of the router, according to the address that it connected to
	hanging atomic.Bool // by HangConn

	mu sync.Mutex // held while a message is written
}

// Fail ends or stalls the connection according to a fault.
func (c *Conn) Fail(fault ConnFault) {
	if fault == HangConn {
		c.hanging.Store(true)
		return
	}
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok && fault == ResetConn {
		_ = tcpConn.SetLinger(0) // the close sends a reset
	}
	_ = c.Close()
}

// WriteMessage writes a RESP array of bulk strings.
func (c *Conn) WriteMessage(items ...string) {
	c.WriteRaw(EncodeMessage(items...))
}

// WriteRaw writes raw without encoding it, or nothing if the connection hangs. It ignores errors, because the router
// and the worker's reading goroutine detect a lost connection by themselves.
func (c *Conn) WriteRaw(raw string) {
	if c.hanging.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, raw)
}

// Start starts the worker on an address, which may be that of a worker that was stopped.
func (w *Worker) Start(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	w.stopped = false
	w.listener, w.listeners, w.arrivals = listener, []net.Listener{listener}, make(chan struct{}, maxUnreadArrivals)
	w.conns, w.inFlight = map[*Conn]struct{}{}, map[string]int{}
	w.keys = cmp.Or(w.ExecutedKeys, &KeySet{})
	w.wg.Go(func() { w.accept(listener, cmp.Or(w.Router, DefaultRouter)) })
	return nil
}

// AddRouter listens on another address and returns it. Messages received there are recorded under the given name of a
// router, because the protocol does not identify routers.
func (w *Worker) AddRouter(name string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, listener)
	w.mu.Unlock()
	w.wg.Go(func() { w.accept(listener, name) })
	return listener.Addr().String(), nil
}

// Addr returns the first address that the worker listens on.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// Stop stops the worker and resets its connections. It returns when all messages have been handled.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	for _, listener := range w.listeners {
		_ = listener.Close()
	}
	w.mu.Unlock()
	w.FailConns(ResetConn)
	w.wg.Wait()
}

// FailConns ends or stalls all open connections according to a fault.
func (w *Worker) FailConns(fault ConnFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Fail(fault)
	}
}

// WriteToAll writes raw to all open connections. A write that takes longer than timeout ends its connection.
func (w *Worker) WriteToAll(raw string, timeout time.Duration) {
	w.mu.Lock()
	conns := slices.Collect(maps.Keys(w.conns))
	w.mu.Unlock()
	for _, c := range conns {
		if c.writeWithin(raw, timeout) != nil {
			_ = c.Close()
		}
	}
}

// writeWithin writes raw like WriteRaw and returns an error if that takes longer than timeout.
func (c *Conn) writeWithin(raw string, timeout time.Duration) error {
	if c.hanging.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	_, err := io.WriteString(c.Conn, raw)
	_ = c.SetWriteDeadline(time.Time{})
	return err
}

// Received returns the messages received so far.
func (w *Worker) Received() []Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Request(nil), w.received...)
}

// Connections returns the number of open connections.
func (w *Worker) Connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// Accepted returns the number of connections accepted so far.
func (w *Worker) Accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted
}

// Arrivals returns a channel that receives a value for each message received.
func (w *Worker) Arrivals() <-chan struct{} { return w.arrivals }

// accept accepts the connections of a router until the listener is closed.
func (w *Worker) accept(listener net.Listener, router string) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &Conn{Conn: netConn, Router: router}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		if w.stopped { // the connection was accepted before Stop closed the listener
			c.Fail(ResetConn)
		}
		w.accepted++
		w.mu.Unlock()
		w.wg.Go(func() { w.serve(c) })
	}
}

// serve handles the messages of a connection until it ends. It closes the connection after an invalid message, as the
// platform's workers do.
func (w *Worker) serve(c *Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		items, err := ReadMessage(in)
		if err != nil {
			return
		}
		request, err := parseRequest(items)
		if err != nil {
			return
		}
		if c.hanging.Load() {
			continue
		}
		request.Conn = c
		w.recordReceived(request)
		if w.Handle != nil {
			w.Handle(request)
		} else {
			w.wg.Go(func() { w.HandleHealthy(request) })
		}
	}
}

// recordReceived stores a message for Received, sends a value to Arrivals and adds a record of the message.
func (w *Worker) recordReceived(request Request) {
	w.mu.Lock()
	w.received = append(w.received, request)
	w.mu.Unlock()
	select {
	case w.arrivals <- struct{}{}:
	default:
	}
	if w.Records == nil {
		return
	}
	switch request.Command {
	case execCommand:
		remainingMS, _ := strconv.Atoi(request.Fields[deadlineField])
		w.Records.Add(invariants.Record{Kind: invariants.AttemptReceived, Router: request.Conn.Router, Call: request.ID, Request: request.Body,
			Class: request.Fields[classField], Worker: w.ID, Remaining: time.Duration(remainingMS) * time.Millisecond})
	case ensureCommand:
		copies, _ := strconv.Atoi(request.Fields[copiesField])
		w.Records.Add(invariants.Record{Kind: invariants.LoadCommandReceived, Worker: w.ID, Copies: copies, Router: request.Conn.Router})
	}
}

// SetDraining sets whether the worker is draining. If so, it completes the requests that it has and rejects new ones.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// Draining reports whether the worker is draining.
func (w *Worker) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// HandleHealthy handles a message as a healthy worker does, or as a draining one if SetDraining was called.
func (w *Worker) HandleHealthy(r Request) {
	draining := w.Draining()
	loadsNothing := r.Fields[copiesField] == "0"
	switch {
	case r.Command == execCommand && draining:
		r.Conn.WriteMessage(r.ID, "refused", "-", "")
	case r.Command == execCommand:
		w.handleExec(r)
	case r.Command == ensureCommand && draining && !loadsNothing:
		r.Conn.WriteMessage(r.ID, "refused", copiesField+"=0", "")
	case r.Command == ensureCommand:
		r.Conn.WriteMessage(r.ID, "ok", copiesField+"="+r.Fields[copiesField], "")
	case isHealthCheck(r) && draining:
		r.Conn.WriteMessage(r.ID, "no", "-", "")
	case isHealthCheck(r):
		r.Conn.WriteMessage(r.ID, "yes", "meter=inflight:1", "")
	}
}

// isHealthCheck reports whether the reply to a message states the worker's readiness. The reply to
// loadReportCommand does so, too.
func isHealthCheck(r Request) bool {
	return r.Command == loadReportCommand || r.Command == healthCommand
}

// handleExec runs a request for WorkDuration. Its reply reports how many requests the worker had when this one arrived:
// in "inflight" all of them, including this one, and in "company" the others of the same function.
func (w *Worker) handleExec(r Request) {
	function := r.Fields[functionField]
	w.mu.Lock()
	others := w.inFlight[function]
	w.inFlight[function]++
	total := 0
	for _, n := range w.inFlight {
		total += n
	}
	w.mu.Unlock()
	w.RecordExecution(r)
	time.Sleep(w.WorkDuration)
	w.mu.Lock()
	w.inFlight[function]--
	w.mu.Unlock()
	r.Conn.WriteMessage(r.ID, "ok", fmt.Sprintf("company=%d,meter=inflight:%d;util:0.5", others, total), "done "+r.Body)
}

// RunAndFail runs a request like a healthy worker and answers it with an error, so that it may have run.
func (w *Worker) RunAndFail(r Request) {
	w.RecordExecution(r)
	time.Sleep(w.WorkDuration)
	r.Conn.WriteMessage(r.ID, "error", "-", "")
}

// RecordExecution records that a request runs, unless it repeats an idempotency key of the deduplicated class.
func (w *Worker) RecordExecution(r Request) {
	isNew := w.keys.add(r.Fields[idempotencyKeyField])
	repeated := w.DeduplicatedClass != "" && r.Fields[classField] == w.DeduplicatedClass && !isNew
	if w.Records != nil && !repeated {
		w.Records.Add(invariants.Record{Kind: invariants.RunStarted, Call: r.ID, Request: r.Body, Class: r.Fields[classField], Worker: w.ID})
	}
}

// KeySet is a set of the idempotency keys of requests that were run. Its zero value is empty. It may be used from any
// goroutine.
type KeySet struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add adds a key and reports whether the set did not contain it.
func (s *KeySet) add(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[string]bool{}
	}
	isNew := !s.keys[key]
	s.keys[key] = true
	return isNew
}
