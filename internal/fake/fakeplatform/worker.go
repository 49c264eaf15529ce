package fakeplatform

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// DefaultRouter is the name in the records of the router that comes to a worker's first address.
const DefaultRouter = "r"

// maxUnreadArrivals bounds the arrivals that wait in Worker.Arrivals. Further ones are dropped.
const maxUnreadArrivals = 1 << 16

// Worker is a fake worker. Its exported fields are set before Start.
type Worker struct {
	ID                string
	Router            string          // in the records, of what comes to the first address; "": DefaultRouter
	Records           *invariants.Log // nil: nothing is recorded
	WorkDuration      time.Duration   // of a request
	DeduplicatedClass string          // a class of which a request with a known idempotency key is not run again
	ExecutedKeys      *KeySet         // of the workers that drop each other's repeats; nil: this worker alone
	// Handle handles a message. It is called on the connection's goroutine. nil: messages are handled by HandleHealthy,
	// each on a goroutine of its own.
	Handle func(r Request)

	listener net.Listener
	arrivals chan struct{}
	keys     *KeySet
	wg       sync.WaitGroup // of all goroutines; Stop waits for it

	mu        sync.Mutex // guards what follows
	stopped   bool
	draining  bool
	listeners []net.Listener // the first and those of further routers
	conns     map[*Conn]struct{}
	accepted  int // connections since Start
	received  []Request
	inFlight  map[string]int // requests, by function
}

// ConnFault is how a worker ends a connection on its own account.
type ConnFault int

// The faults of connections.
const (
	CloseConn ConnFault = iota // an orderly end
	ResetConn                  // a reset, as the process of a worker that dies causes
	HangConn                   // nothing is said: what still comes is not looked at
)

// Conn is one connection to a worker. Its writes may be called from any goroutine.
type Conn struct {
	net.Conn
	Router    string      // by the address that it came to
	forgotten atomic.Bool // what still comes is not looked at

	mu sync.Mutex // held while a message is written
}

// Fail ends the connection by a fault.
func (c *Conn) Fail(fault ConnFault) {
	if fault == HangConn {
		c.forgotten.Store(true)
		return
	}
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok && fault == ResetConn {
		_ = tcpConn.SetLinger(0) // the close sends a reset
	}
	_ = c.Close()
}

// WriteMessage writes an array of bulk strings.
func (c *Conn) WriteMessage(items ...string) {
	c.WriteRaw(EncodeMessage(items...))
}

// WriteRaw writes bytes as they are, and nothing on a forgotten connection. An error is ignored: the router sees the lost
// connection, and the worker's reader too.
func (c *Conn) WriteRaw(raw string) {
	if c.forgotten.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, raw)
}

// Start starts the worker. address may name the port of a worker that was stopped.
func (w *Worker) Start(address string) error {
	listener, err := net.Listen("tcp", address)
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

// AddRouter opens a further address, and returns it. What comes there is recorded as that router's: a worker sees no
// names.
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

// Addr returns the address that the worker listens on.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// Stop stops the worker: its connections are reset. It returns when the handling of all messages has ended.
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

// FailConns ends all open connections by a fault.
func (w *Worker) FailConns(fault ConnFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Fail(fault)
	}
}

// Received returns the messages received so far.
func (w *Worker) Received() []Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Request(nil), w.received...)
}

// Connections returns how many connections are open.
func (w *Worker) Connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// Accepted returns how many connections have been accepted since the start.
func (w *Worker) Accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted
}

// Arrivals returns a channel that has a value for each message received.
func (w *Worker) Arrivals() <-chan struct{} { return w.arrivals }

// accept accepts a router's connections until the listener is closed.
func (w *Worker) accept(listener net.Listener, router string) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &Conn{Conn: netConn, Router: router}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		if w.stopped { // it was accepted before the listener was closed
			c.Fail(ResetConn)
		}
		w.accepted++
		w.mu.Unlock()
		w.wg.Go(func() { w.serve(c) })
	}
}

// serve handles the messages of a connection until it ends or a message can't be used. The platform's workers close the
// connection then, too.
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
		if c.forgotten.Load() {
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

// recordReceived keeps a message for Received, announces it on Arrivals and records it.
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

// SetDraining sets whether the worker drains: it completes what it has and rejects what is new.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// Draining reports whether the worker drains.
func (w *Worker) Draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// HandleHealthy handles a message as a healthy worker does, or as one that drains.
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

// isHealthCheck reports whether a message asks for the worker's readiness. A request for the load does so, too.
func isHealthCheck(r Request) bool { return r.Command == loadCommand || r.Command == healthCommand }

// handleExec runs a request for WorkDuration. The reply reports the requests that the worker holds, and in "company"
// how many others of the function it held when the request came.
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

// RecordExecution records that a request runs, unless it is a repeat that is not run.
func (w *Worker) RecordExecution(r Request) {
	isNew := w.keys.add(r.Fields[idempotencyKeyField])
	repeated := w.DeduplicatedClass != "" && r.Fields[classField] == w.DeduplicatedClass && !isNew
	if w.Records != nil && !repeated {
		w.Records.Add(invariants.Record{Kind: invariants.RunStarted, Call: r.ID, Request: r.Body, Class: r.Fields[classField], Worker: w.ID})
	}
}

// KeySet is the idempotency keys of requests that ran. Its zero value is empty.
type KeySet struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add adds a key and reports whether it is new.
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
