package http2

import (
	"errors"
	"fmt"
)

// Errors of opening a stream and of writing to it.
var (
	ErrClosed         = errors.New("http2: stream or connection is closed")
	ErrTooManyStreams = errors.New("http2: connection has as many open streams as the peer accepts; " +
		"wait for one to end or open another connection")
	ErrGoAway = errors.New("http2: connection is shutting down and opens no further streams; " +
		"open another connection")
)

// The ends of a connection that are not a protocol error.
var (
	errClosedByPeer = errors.New("http2: connection closed by the peer")
	errClosedLocal  = errors.New("http2: connection closed by this end")
	errClosedAtOnce = errors.New("http2: connection closed by the peer as soon as it was open")
)

// ErrCode is an error code of RST_STREAM and GOAWAY (RFC 9113, section 7).
type ErrCode uint32

// The error codes.
const (
	NoError ErrCode = iota
	ProtocolError
	InternalError
	FlowControlError
	SettingsTimeout
	StreamClosed
	FrameSizeError
	RefusedStream
	Cancel
	CompressionError
	ConnectError
	EnhanceYourCalm
	InadequateSecurity
	HTTP11Required
)

var errCodeNames = [...]string{"NO_ERROR", "PROTOCOL_ERROR", "INTERNAL_ERROR", "FLOW_CONTROL_ERROR",
	"SETTINGS_TIMEOUT", "STREAM_CLOSED", "FRAME_SIZE_ERROR", "REFUSED_STREAM", "CANCEL", "COMPRESSION_ERROR",
	"CONNECT_ERROR", "ENHANCE_YOUR_CALM", "INADEQUATE_SECURITY", "HTTP_1_1_REQUIRED"}

// String returns the code's name in RFC 9113.
func (c ErrCode) String() string {
	if int(c) < len(errCodeNames) {
		return errCodeNames[c]
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// ConnError is a violation of the protocol by the peer that ends the connection. The peer gets its code and
// reason in a GOAWAY frame.
type ConnError struct {
	Code   ErrCode
	Reason string
}

func (e *ConnError) Error() string {
	return fmt.Sprintf("http2: connection error %v: %s", e.Code, e.Reason)
}

// connError returns a *ConnError. It is the result of a frame handler, whose caller ends the connection.
func connError(code ErrCode, format string, args ...any) error {
	return &ConnError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// StreamError is the reason why a stream ended before both ends finished it.
type StreamError struct {
	Code        ErrCode
	Reason      string
	Remote      bool  // the peer reset it
	ConnLost    bool  // the connection ended with the stream open
	Unprocessed bool  // the peer guarantees that it did not process it (RFC 9113, sections 6.8 and 8.7)
	Err         error // of ConnLost: what ended the connection
}

func (e *StreamError) Error() string {
	switch {
	case e.ConnLost:
		return fmt.Sprintf("http2: stream ended with its connection: %v", e.Err)
	case e.Remote:
		return fmt.Sprintf("http2: reset by peer: %v: %s", e.Code, e.Reason)
	}
	return fmt.Sprintf("http2: stream error: %v: %s", e.Code, e.Reason)
}

// Unwrap returns what ended the connection, if the stream ended with it.
func (e *StreamError) Unwrap() error { return e.Err }
