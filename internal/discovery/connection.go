package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Limits of a response, besides Config.MaxResponseBytes.
const (
	maxHeadBytes    = 8 << 10
	maxHeaderFields = 64
	maxPendingBytes = 1 << 10 // bytes received beyond the response that is being read
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
	reader  *http1.Reader // used only by netpoll's callbacks for the connection

	mu       sync.Mutex
	closeErr error           // not nil once the connection is closed
	notify   chan<- struct{} // receives a signal for each result; nil means no signals

	query   pollQuery       // query of the pending or last request; used only by the Watcher's goroutine
	results chan pollResult // has a buffer of one, for the result of the pending request
}

// pollResult is a response, or the error if there is none.
type pollResult struct {
	message *http1.Message
	err     error
}

// dial establishes a connection.
func dial(address string, cfg Config) (*connection, error) {
	conn, err := netpoll.NewDialer().DialConnection("tcp", address, cfg.ConnectTimeout)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	limits := http1.Limits{Head: maxHeadBytes, Fields: maxHeaderFields, Body: cfg.MaxResponseBytes, Pending: maxPendingBytes}
	c := &connection{
		address: address,
		conn:    conn,
		reader:  http1.NewResponseReader(limits),
		results: make(chan pollResult, 1),
	}
	_ = conn.SetWriteTimeout(cfg.ConnectTimeout)
	_ = conn.SetOnRequest(func(context.Context, netpoll.Connection) error { c.onReadable(); return nil })
	_ = conn.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	if !conn.IsActive() { // the connection was closed before the callback was set
		c.onClosed()
	}
	return c, nil
}

// send writes a request. Its result is sent to results.
func (c *connection) send(request []byte) error {
	if _, err := c.conn.Write(request); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// onReadable parses the received bytes and delivers complete responses. A panic closes only this connection.
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

// onClosed handles the close by the peer, which also ends a response without Content-Length. If such a response is
// truncated, its body is not valid JSON and is rejected later.
func (c *connection) onClosed() {
	if message := c.reader.End(); message != nil {
		c.deliver(pollResult{message: message})
	}
	c.close(errConnectionClosed)
}

// deliver sends a result to results, and signals it if notifyResult was called. It doesn't block: the result is dropped
// if the previous one has not been received.
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

// notifyResult makes deliver signal each further result to a channel. A result already in results is signalled
// immediately.
func (c *connection) notifyResult(to chan<- struct{}) {
	c.mu.Lock()
	c.notify = to
	c.mu.Unlock()
	if len(c.results) > 0 {
		signal(to)
	}
}

// signal sends to a channel with a buffer of one, unless the channel is nil or its buffer is full.
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
