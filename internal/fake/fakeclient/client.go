// Package fakeclient is a fake of the clients of the gateway, for scenarios. It speaks the Open Inference Protocol over
// real sockets, keeps deadlines, and records the calls that it sends and their answers, for package invariants to
// check.
package fakeclient

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

const (
	dialTimeout = time.Second

	// lateAnswerWait is how long a call waits for its answer beyond the deadline, so that late answers are recorded.
	lateAnswerWait = time.Second
)

// Request is a unit of work that a client requests. It takes one call, and another for each retry.
type Request struct {
	ID              string // the same for all calls of the request
	Model           string
	Class           string
	Work            time.Duration // actual work, which the gateway does not know
	WorkHint        time.Duration // estimate of the work for the gateway; 0 means none
	Streamed        bool
	Messages        int // number of messages of a streamed answer
	BytesPerMessage int
}

// Result is the result of a call.
type Result struct {
	Answer             invariants.Answer // meaningful only if Answered is set
	Answered           bool              // false if the connection broke or the wait ended before a final answer
	Status             grpc.Status
	RetryAfter         time.Duration // from the router; negative means that the call must not be retried
	Messages           int           // number of messages received
	Bytes              int           // in messages received, with their prefixes
	Duration           time.Duration
	TimeToFirstMessage time.Duration // 0 if none was received
}

// Client is a client of one router, over one connection at a time. It may be used from any goroutine.
type Client struct {
	addr, router string
	records      *invariants.Log
	config       http2.Config

	mu   sync.Mutex
	conn *http2.Conn // nil if the next call has to connect
}

// New returns a client of the router that listens on addr. router is its name in the records. The first call connects.
func New(addr, router string, records *invariants.Log, config http2.Config) *Client {
	return &Client{addr: addr, router: router, records: records, config: config}
}

// StreamOpened implements http2.Handler.
func (c *Client) StreamOpened(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler.
func (c *Client) GoAway(conn *http2.Conn, _ http2.ErrCode) { c.dropConn(conn) }

// ConnClosed implements http2.Handler.
func (c *Client) ConnClosed(conn *http2.Conn, _ error) { c.dropConn(conn) }

// dropConn makes further calls use another connection. Calls in flight stay on the old one.
func (c *Client) dropConn(conn *http2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// Close closes the current connection.
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
	conn, err := http2.Dial("tcp", c.addr, dialTimeout, c.config, c)
	if err == nil {
		c.conn = conn
	}
	return conn, err
}

// Call sends one call of a request and returns without waiting for the answer. done is called once with the result,
// possibly before Call returns. The returned function cancels the call.
func (c *Client) Call(r Request, callID string, deadline time.Duration, done func(Result)) (cancel func()) {
	call := &pendingCall{client: c, id: callID, request: r, startedAt: time.Now(), done: done}
	fail := func(err error) func() {
		call.finish(Result{Status: grpc.Status{Code: grpc.Unavailable, Message: err.Error()}})
		return func() {}
	}
	conn, err := c.connect()
	if err != nil {
		return fail(err)
	}
	body, err := encodeRequest(r, callID)
	if err != nil {
		return fail(err)
	}
	path := oip.Infer
	if r.Streamed {
		path = oip.StreamInfer
	}
	now := c.records.Now()
	c.records.Add(invariants.Record{At: now, Kind: invariants.CallSent, Call: callID, Request: r.ID, Class: r.Class,
		Router: c.router, Deadline: now + deadline})
	call.recorded = true
	call.timer = time.AfterFunc(deadline+lateAnswerWait, func() {
		call.finish(Result{Status: grpc.Status{Code: grpc.DeadlineExceeded, Message: "no answer in time"}})
	})
	stream, err := conn.OpenStream(call, grpc.RequestHeaders(c.addr, path, deadline), body, true)
	if err != nil {
		call.recordAbandoned()
		return fail(err)
	}
	return func() {
		call.recordAbandoned()
		stream.Reset(http2.Cancel)
		call.finish(Result{Status: grpc.Status{Code: grpc.Canceled}})
	}
}

// encodeRequest returns the request message of a call, with its gRPC prefix.
func encodeRequest(r Request, callID string) ([]byte, error) {
	m := &inference.ModelInferRequest{ModelName: r.Model, Id: callID, Parameters: map[string]*inference.InferParameter{
		oip.ParamIdempotencyKey:  textParameter(r.ID),
		fakeworker.ParamRequest:  textParameter(r.ID),
		fakeworker.ParamWorkMS:   numberParameter(r.Work.Seconds() * 1000),
		fakeworker.ParamMessages: numberParameter(float64(r.Messages)),
		fakeworker.ParamBytes:    numberParameter(float64(r.BytesPerMessage)),
	}}
	if r.WorkHint > 0 {
		m.Parameters[oip.ParamWorkMS] = numberParameter(r.WorkHint.Seconds() * 1000)
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(grpc.AppendPrefix(make([]byte, 0, len(raw)+grpc.PrefixLen), len(raw), false), raw...), nil
}

func textParameter(s string) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
}

func numberParameter(f float64) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: f}}
}
