package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Bounds of a response beside its body.
const (
	maxHeadBytes    = 8 << 10
	maxHeaderFields = 64
	maxPendingBytes = 1 << 10 // received beyond the response that is being read
)

var (
	errClosedAfterResponse = errors.New("discovery: connection closed after the response")
	errConnectionClosed    = errors.New("discovery: connection closed")
	errResponseTimeout     = errors.New("discovery: response timed out")
)

// connection is one HTTP connection to the discovery server, with at most one request pending.
type connection struct {
	address string
	conn    netpoll.Connection
	reader  *http1.Reader // used by netpoll's callbacks for the connection only

	mu       sync.Mutex
	closeErr error           // set once closed
	notify   chan<- struct{} // gets a value for each result; nil: nobody wants to know
	results  chan pollResult
}

// pollResult is a response, or the reason why there is none.
type pollResult struct {
	message *http1.Message
	err     error
}

func dial(address string, cfg Config) (*connection, error) {
	conn, err := netpoll.NewDialer().DialConnection("tcp", address, cfg.ConnectTimeout)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	limits := http1.Limits{Head: maxHeadBytes, Fields: maxHeaderFields, Body: cfg.MaxResponseBytes, Pending: maxPendingBytes}
	c := &connection{address: address, conn: conn, results: make(chan pollResult, 1), reader: http1.NewResponseReader(limits)}
	_ = conn.SetWriteTimeout(cfg.ConnectTimeout)
	_ = conn.SetOnRequest(func(context.Context, netpoll.Connection) error { c.onReadable(); return nil })
	_ = conn.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	if !conn.IsActive() { // it was closed before the callback was set
		c.onClosed()
	}
	return c, nil
}

// roundTrip writes a request and waits for its response, at most for timeout. Meanwhile it passes on the responses to
// late polls.
func (c *connection) roundTrip(request []byte, timeout time.Duration, late *latePolls, onLate func(*http1.Message)) (*http1.Message, error) {
	if _, err := c.conn.Write(request); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case result := <-c.results:
			return result.message, result.err
		case <-late.arrived:
			for _, message := range late.take() {
				onLate(message)
			}
		case <-timer.C:
			return nil, errResponseTimeout
		}
	}
}

// onReadable parses the bytes that have arrived.
func (c *connection) onReadable() {
	defer func() {
		if v := recover(); v != nil {
			c.close(fmt.Errorf("discovery: panic: %v", v))
		}
	}()
	in := c.conn.Reader()
	for n := in.Len(); n > 0; n = in.Len() {
		received, err := in.Next(min(n, max(c.reader.Available(), 1)))
		if err == nil {
			err = c.reader.Add(received)
		}
		_ = in.Release()
		var message *http1.Message
		if err == nil {
			message, err = c.reader.Next()
		}
		if err != nil {
			c.close(err)
			return
		}
		if message != nil {
			c.deliver(pollResult{message: message})
		}
	}
}

// onClosed handles the peer's close, which may be what ends a response without a length. Where it cuts such a response
// off, the body is not valid JSON and is rejected.
func (c *connection) onClosed() {
	if message := c.reader.End(); message != nil {
		c.deliver(pollResult{message: message})
	}
	c.close(errConnectionClosed)
}

// deliver passes a result to roundTrip. It doesn't block: a result that nobody waits for is dropped.
func (c *connection) deliver(result pollResult) {
	select {
	case c.results <- result:
	default:
	}
	c.mu.Lock()
	notify := c.notify
	c.mu.Unlock()
	signal(notify)
}

// notifyResult has each further result signalled to a channel, and one that is there already.
func (c *connection) notifyResult(to chan<- struct{}) {
	c.mu.Lock()
	c.notify = to
	c.mu.Unlock()
	if len(c.results) > 0 {
		signal(to)
	}
}

// signal sends to a channel with a buffer of one, unless it is nil or its buffer is full.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr != nil
}

// close closes the connection and fails a pending request with err. Only the first call has an effect.
func (c *connection) close(err error) {
	c.mu.Lock()
	if c.closeErr != nil {
		c.mu.Unlock()
		return
	}
	c.closeErr = err
	c.mu.Unlock()
	c.deliver(pollResult{err: err})
	_ = c.conn.Close()
}
