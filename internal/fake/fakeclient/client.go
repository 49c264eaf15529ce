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
	ID              string // the same for all its tries
	Model           string
	Class           string
	Work            time.Duration // true work, which the gateway is not told
	WorkHint        time.Duration // what it is told; 0: nothing
	Streamed        bool
	Messages        int
	BytesPerMessage int // of each message
}

// Result is how a call ended.
type Result struct {
	Answer             invariants.Answer
	Answered           bool // false: no final answer came, as the connection broke or the time was up
	Status             grpc.Status
	RetryAfter         time.Duration // advice to stay away; negative: not to repeat
	Messages           int
	Bytes              int
	Duration           time.Duration
	TimeToFirstMessage time.Duration // to the first message; 0: none came
}

// Client is a program's connection to one router.
type Client struct {
	addr, router string
	records      *invariants.Log
	config       http2.Config

	mu   sync.Mutex
	conn *http2.Conn
}

// New returns a client of the router that listens at an address. It connects with its first call.
func New(addr, router string, log *invariants.Log, cfg http2.Config) *Client {
	return &Client{addr: addr, router: router, records: log, config: cfg}
}

// Router is the name of the router that it calls.
func (c *Client) Router() string { return c.router }

// Open implements http2.Handler.
func (c *Client) Open(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler.
func (c *Client) GoAway(conn *http2.Conn, _ http2.ErrCode) { c.dropConn(conn) }

// Lost implements http2.Handler.
func (c *Client) Lost(conn *http2.Conn, _ error) { c.dropConn(conn) }

func (c *Client) dropConn(conn *http2.Conn) {
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
	conn, err := http2.Dial("tcp", c.addr, time.Second, c.config, c)
	if err == nil {
		c.conn = conn
	}
	return conn, err
}

// Message builds a request's message.
func encodeRequest(r Request, call string) ([]byte, error) {
	text := func(s string) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
	}
	number := func(f float64) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: f}}
	}
	m := &inference.ModelInferRequest{ModelName: r.Model, Id: call, Parameters: map[string]*inference.InferParameter{
		fakeworker.ParamRequest: text(r.ID), oip.ParamIdempotencyKey: text(r.ID), fakeworker.ParamWorkMS: number(r.Work.Seconds() * 1000),
		fakeworker.ParamMessages: number(float64(r.Messages)), fakeworker.ParamBytes: number(float64(r.BytesPerMessage))}}
	if r.WorkHint > 0 {
		m.Parameters[oip.ParamWorkMS] = number(r.WorkHint.Seconds() * 1000)
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
	x := &pendingCall{client: c, id: call, request: r, startedAt: time.Now(), done: done, counter: grpc.Counter{}}
	fail := func(reason string) func() {
		x.finish(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: reason}})
		return func() {}
	}
	conn, err := c.connect()
	if err != nil {
		return fail(err.Error())
	}
	body, err := encodeRequest(r, call)
	if err != nil {
		return fail(err.Error())
	}
	path := oip.Infer
	if r.Streamed {
		path = oip.StreamInfer
	}
	now := c.records.Now()
	c.records.Add(invariants.Record{At: now, Kind: invariants.CallSent, Call: call, Request: r.ID, Class: r.Class, Router: c.router,
		Deadline: now + deadline})
	x.recorded = true
	// The answer is waited for a while beyond the deadline, so that a late one is seen to be late.
	x.timer = time.AfterFunc(deadline+time.Second, func() {
		x.finish(Result{Status: grpc.Status{Code: grpc.DeadlineExceeded, Message: "no answer in time"}})
	})
	s, err := conn.Open(x, grpc.Head(c.addr, path, deadline), body, true)
	if err != nil {
		x.recordAbandoned()
		x.finish(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
		return func() {}
	}
	return func() {
		x.recordAbandoned()
		s.Reset(http2.Cancel)
		x.finish(Result{Status: grpc.Status{Code: grpc.Canceled}})
	}
}

// exchange is one call under way.
type pendingCall struct {
	client    *Client
	id        string
	request   Request
	startedAt time.Time
	done      func(Result)
	recorded  bool
	timer     *time.Timer

	mu                 sync.Mutex
	counter            grpc.Counter
	timeToFirstMessage time.Duration
	bytes              int
	ended              bool
}

func (x *pendingCall) recordAbandoned() {
	x.mu.Lock()
	over := x.ended
	x.mu.Unlock()
	if !over && x.recorded {
		x.client.records.Add(invariants.Record{Kind: invariants.CallAbandoned, Call: x.id, Class: x.request.Class, Router: x.client.router})
	}
}

func (x *pendingCall) finish(r Result) {
	x.mu.Lock()
	if x.ended {
		x.mu.Unlock()
		return
	}
	x.ended = true
	r.Messages, r.Bytes, r.TimeToFirstMessage = x.counter.Messages, x.bytes, x.timeToFirstMessage
	r.Duration = time.Since(x.startedAt)
	x.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
	}
	x.done(r)
}

// Headers implements http2.Receiver.
func (x *pendingCall) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		return
	}
	r := Result{Answered: true, Status: grpc.StatusOf(fields)}
	push, told := grpc.Get(fields, "grpc-retry-pushback-ms")
	if ms, err := strconv.ParseInt(push, 10, 64); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch {
	case r.Status.Code == grpc.OK:
		r.Answer = invariants.Served
	case r.Status.Code == grpc.Unavailable && told && r.RetryAfter >= 0:
		r.Answer = invariants.Rejected
	default:
		r.Answer = invariants.Failed
	}
	x.mu.Lock()
	cut := x.counter.Partial()
	x.mu.Unlock()
	if r.Answer == invariants.Served && cut {
		r.Answer, r.Status = invariants.Failed, grpc.Status{Code: grpc.Internal, Message: "answer ends within a message"}
	}
	x.client.records.Add(invariants.Record{Kind: invariants.FinalAnswer, Call: x.id, Request: x.request.ID, Class: x.request.Class,
		Router: x.client.router, Answer: r.Answer})
	x.finish(r)
}

// Data implements http2.Receiver.
func (x *pendingCall) Data(s *http2.Stream, p []byte, end bool) {
	s.Consume(len(p))
	x.mu.Lock()
	err := x.counter.Add(p)
	x.bytes += len(p)
	if x.timeToFirstMessage == 0 && x.counter.Messages > 0 {
		x.timeToFirstMessage = time.Since(x.startedAt)
	}
	x.mu.Unlock()
	if err != nil || end {
		x.finish(Result{Status: grpc.Status{Code: grpc.Internal, Message: fmt.Sprint("broken answer: ", err)}})
	}
}

// Sent implements http2.Receiver.
func (x *pendingCall) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (x *pendingCall) Closed(_ *http2.Stream, err error) {
	if err == nil {
		return
	}
	var se *http2.StreamError
	if errors.As(err, &se) && se.NeverRan {
		x.recordAbandoned() // the router never took it
	}
	x.finish(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
}
