package adminapi

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cloudwego/netpoll"
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

// readLine waits for a complete line and returns it without the newline. The returned bytes are owned by the reader and
// valid until its next call. A line of more than maxLineBytes fails with errLineTooLong.
func readLine(reader netpoll.Reader) ([]byte, error) {
	for scanned := 0; ; {
		if _, err := reader.Peek(scanned + 1); err != nil { // waits for at least one more byte
			return nil, err
		}
		available := reader.Len()
		buffered, err := reader.Peek(available)
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(buffered[scanned:], '\n'); i >= 0 {
			line, err := reader.Next(scanned + i + 1)
			return line[:scanned+i], err
		}
		if scanned = available; scanned > maxLineBytes {
			return nil, errLineTooLong
		}
	}
}

// writeLine sends one encoded object and a newline.
func writeLine(conn netpoll.Connection, object []byte) error {
	if _, err := conn.Writer().WriteBinary(append(object, '\n')); err != nil {
		return err
	}
	return conn.Writer().Flush()
}
