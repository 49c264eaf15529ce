package discovery

import (
	"errors"
	"fmt"
	"sync"

	"github.com/topazfront/topazfront/internal/transport/http1"
	"github.com/topazfront/topazfront/internal/transport/socket"
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
	conn    *socket.Conn
	reader  *http1.Reader // used only by Received and Closed

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
	netConn, err := socket.Dial("tcp", address, cfg.ConnectTimeout)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	limits := http1.Limits{Head: maxHeadBytes, Fields: maxHeaderFields, Body: cfg.MaxResponseBytes, Pending: maxPendingBytes}
	c := &connection{
		address: address,
		reader:  http1.NewResponseReader(limits),
		results: make(chan pollResult, 1),
	}
	if c.conn, err = socket.New(netConn, c, cfg.ConnectTimeout); err != nil {
		_ = netConn.Close()
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c.conn.Start()
	return c, nil
}

// send writes a request. Its result is sent to results.
func (c *connection) send(request []byte) error {
	if _, err := c.conn.Write(request); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// Received implements socket.Handler. It parses the input and delivers complete responses. A panic closes only this
// connection.
func (c *connection) Received(input []byte) {
	defer func() {
		if v := recover(); v != nil {
			c.close(fmt.Errorf("discovery: panic: %v", v))
		}
	}()
	for len(input) > 0 {
		n := min(len(input), max(c.reader.Available(), 1))
		message, err := c.parse(input[:n])
		if err != nil {
			c.close(err)
			return
		}
		if message != nil {
			c.deliver(pollResult{message: message})
		}
		input = input[n:]
	}
}

// parse adds input to the reader and returns the next response, or nil if none is complete.
func (c *connection) parse(input []byte) (*http1.Message, error) {
	if err := c.reader.Add(input); err != nil {
		return nil, err
	}
	return c.reader.Next()
}

// Closed implements socket.Handler. The close by the peer also ends a response without Content-Length. If such a
// response is truncated, its body is not valid JSON and is rejected later.
func (c *connection) Closed() {
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
	c.conn.Close()
}
