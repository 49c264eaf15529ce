// Package fakeclient is a stand-in for the programs that call the gateway: it speaks the Open Inference Protocol
// over real sockets, follows deadlines, and records what it asked and what it was answered for the checker of
// the rules.
package fakeclient

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Request is one thing that a client wants done; a try of it is a call.
type Request struct {
	ID       string // the same for all its tries
	Model    string
	Class    string
	Work     time.Duration // true work, which the gateway is not told
	Hint     time.Duration // what it is told; 0: nothing
	Streamed bool
	Messages int
	Bytes    int // of each message
}

// Result is how a call ended.
type Result struct {
	Answer   invariants.Answer
	Answered bool // false: no final answer came, as the connection broke or the time was up
	Status   grpc.Status
	Pushback time.Duration // advice to stay away; negative: not to repeat
	Messages int
	Bytes    int
	Took     time.Duration
	First    time.Duration // to the first message; 0: none came
}

// Client is a program's connection to one router.
type Client struct {
	addr, router string
	log          *invariants.Log
	cfg          http2.Config

	mu   sync.Mutex
	conn *http2.Conn
}

// New returns a client of the router that listens at an address. It connects with its first call.
func New(addr, router string, log *invariants.Log, cfg http2.Config) *Client {
	return &Client{addr: addr, router: router, log: log, cfg: cfg}
}

// Router is the name of the router that it calls.
func (c *Client) Router() string { return c.router }

// Open implements http2.Handler.
func (c *Client) Open(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler.
func (c *Client) GoAway(conn *http2.Conn, _ http2.ErrCode) { c.forget(conn) }

// ConnClosed implements http2.Handler.
func (c *Client) ConnClosed(conn *http2.Conn, _ error) { c.forget(conn) }

func (c *Client) forget(conn *http2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (c *Client) connect() (*http2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := http2.Dial("tcp", c.addr, time.Second, c.cfg, c)
	if err == nil {
		c.conn = conn
	}
	return conn, err
}

// Message builds a request's message.
func Message(r Request, call string) ([]byte, error) {
	text := func(s string) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
	}
	number := func(f float64) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: f}}
	}
	m := &inference.ModelInferRequest{ModelName: r.Model, Id: call, Parameters: map[string]*inference.InferParameter{
		fakeworker.ParamRequest: text(r.ID), oip.ParamIdempotencyKey: text(r.ID), fakeworker.ParamWorkMS: number(r.Work.Seconds() * 1000),
		fakeworker.ParamMessages: number(float64(r.Messages)), fakeworker.ParamBytes: number(float64(r.Bytes))}}
	if r.Hint > 0 {
		m.Parameters[oip.ParamWorkMS] = number(r.Hint.Seconds() * 1000)
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(grpc.AppendPrefix(make([]byte, 0, len(raw)+grpc.PrefixLen), len(raw), false), raw...), nil
}

// Call sends one try and returns at once; done is told, once, how it ended. The returned function leaves the
// call.
func (c *Client) Call(r Request, call string, deadline time.Duration, done func(Result)) (leave func()) {
	x := &exchange{c: c, call: call, req: r, began: time.Now(), done: done, count: grpc.MessageCounter{}}
	fail := func(reason string) func() {
		x.end(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: reason}})
		return func() {}
	}
	conn, err := c.connect()
	if err != nil {
		return fail(err.Error())
	}
	body, err := Message(r, call)
	if err != nil {
		return fail(err.Error())
	}
	path := oip.Infer
	if r.Streamed {
		path = oip.StreamInfer
	}
	now := c.log.Now()
	c.log.Add(invariants.Record{At: now, Kind: invariants.Asked, Call: call, Request: r.ID, Class: r.Class, Router: c.router,
		Deadline: now + deadline})
	x.asked = true
	// The answer is waited for a while beyond the deadline, so that a late one is seen to be late.
	x.timer = time.AfterFunc(deadline+time.Second, func() {
		x.end(Result{Status: grpc.Status{Code: grpc.DeadlineExceeded, Message: "no answer in time"}})
	})
	s, err := conn.Open(x, grpc.RequestHeaders(c.addr, path, deadline), body, true)
	if err != nil {
		x.left()
		x.end(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
		return func() {}
	}
	return func() {
		x.left()
		s.Reset(http2.Cancel)
		x.end(Result{Status: grpc.Status{Code: grpc.Canceled}})
	}
}

// exchange is one call under way.
type exchange struct {
	c     *Client
	call  string
	req   Request
	began time.Time
	done  func(Result)
	asked bool
	timer *time.Timer

	mu    sync.Mutex
	count grpc.MessageCounter
	first time.Duration
	bytes int
	over  bool
}

func (x *exchange) left() {
	x.mu.Lock()
	over := x.over
	x.mu.Unlock()
	if !over && x.asked {
		x.c.log.Add(invariants.Record{Kind: invariants.Left, Call: x.call, Class: x.req.Class, Router: x.c.router})
	}
}

func (x *exchange) end(r Result) {
	x.mu.Lock()
	if x.over {
		x.mu.Unlock()
		return
	}
	x.over = true
	r.Messages, r.Bytes, r.First = x.count.Messages, x.bytes, x.first
	r.Took = time.Since(x.began)
	x.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
	}
	x.done(r)
}

// Headers implements http2.Receiver.
func (x *exchange) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	r := Result{Answered: true, Status: grpc.StatusFromTrailers(fields)}
	push, told := grpc.FieldValue(fields, "grpc-retry-pushback-ms")
	if ms, err := strconv.ParseInt(push, 10, 64); err == nil {
		r.Pushback = time.Duration(ms) * time.Millisecond
	}
	switch {
	case r.Status.Code == grpc.OK:
		r.Answer = invariants.Served
	case r.Status.Code == grpc.Unavailable && told && r.Pushback >= 0:
		r.Answer = invariants.Refused
	default:
		r.Answer = invariants.Failed
	}
	x.mu.Lock()
	cut := x.count.Partial()
	x.mu.Unlock()
	if r.Answer == invariants.Served && cut {
		r.Answer, r.Status = invariants.Failed, grpc.Status{Code: grpc.Internal, Message: "answer ends within a message"}
	}
	x.c.log.Add(invariants.Record{Kind: invariants.Answered, Call: x.call, Request: x.req.ID, Class: x.req.Class,
		Router: x.c.router, Answer: r.Answer})
	x.end(r)
}

// Data implements http2.Receiver.
func (x *exchange) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	x.mu.Lock()
	err := x.count.Add(p)
	x.bytes += len(p)
	if x.first == 0 && x.count.Messages > 0 {
		x.first = time.Since(x.began)
	}
	x.mu.Unlock()
	if err != nil || end {
		x.end(Result{Status: grpc.Status{Code: grpc.Internal, Message: fmt.Sprint("broken answer: ", err)}})
	}
}

// Sent implements http2.Receiver.
func (x *exchange) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (x *exchange) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return
	}
	var se *http2.StreamError
	if errors.As(err, &se) && se.Unprocessed {
		x.left() // the router never took it
	}
	x.end(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
}
