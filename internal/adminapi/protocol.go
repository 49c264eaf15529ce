package adminapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// protocolVersion is the JSON-RPC version in each request and response.
const protocolVersion = "2.0"

// Error codes of JSON-RPC 2.0, section 5.1.
const (
	codeParseError     = -32700
	codeInvalidRequest = -32600
	codeMethodNotFound = -32601
	codeInternalError  = -32603
)

// maxLineBytes limits the length of a line.
const maxLineBytes = 1 << 20

// nullID is the ID in the response to a request whose ID could not be read.
var nullID = json.RawMessage("null")

type request struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"` // nil in a notification, which gets no response
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params,omitempty"`
}

type response struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  any             `json:"result,omitempty"`
	Error   *Error          `json:"error,omitempty"`
}

// Error is the error of a response. Call returns it wrapped.
type Error struct {
	Code    int    `json:"code"` // as in section 5.1 of the specification
	Message string `json:"message"`
}

func (e *Error) Error() string { return e.Message }

var errLineTooLong = fmt.Errorf("a line of more than %d bytes", maxLineBytes)

// lineReader reads the lines of a connection. It buffers no more than a line.
type lineReader struct {
	conn    net.Conn
	buffer  *bufio.Reader
	timeout time.Duration // longest wait for more bytes of a line
}

func newLineReader(conn net.Conn, timeout time.Duration) *lineReader {
	return &lineReader{conn: conn, buffer: bufio.NewReader(conn), timeout: timeout}
}

// waitForLine waits without a limit for the first byte of a line.
func (r *lineReader) waitForLine() error {
	_, err := r.buffer.Peek(1)
	return err
}

// readLine waits for a complete line and returns it without the newline. A line of more than maxLineBytes fails with
// errLineTooLong.
func (r *lineReader) readLine() (line []byte, err error) {
	for {
		if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
			return nil, err
		}
		if _, err := r.buffer.Peek(1); err != nil { // waits for at least one more byte
			return nil, err
		}
		received, err := r.buffer.Peek(r.buffer.Buffered())
		if err != nil {
			return nil, err
		}
		part, _, found := bytes.Cut(received, []byte{'\n'})
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errLineTooLong
		}
		consumed := len(part)
		if found {
			consumed++
		}
		if _, err := r.buffer.Discard(consumed); err != nil || found {
			return line, err
		}
	}
}

// writeLine sends one encoded object and a newline.
func writeLine(conn net.Conn, object []byte) error {
	_, err := conn.Write(append(object, '\n'))
	return err
}
