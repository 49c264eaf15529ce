package http2

import (
	"errors"
	"fmt"
)

// Errors returned when opening a stream or writing to it.
var (
	ErrClosed         = errors.New("http2: stream or connection is closed")
	ErrTooManyStreams = errors.New("http2: connection has as many open streams as the peer accepts; " +
		"wait for one to end or open another connection")
	ErrGoAway = errors.New("http2: connection is shutting down and opens no further streams; " +
		"open another connection")
)

// Reasons for the end of a connection that are not protocol errors.
var (
	errClosedByPeer = errors.New("http2: connection closed by the peer")
	errClosedLocal  = errors.New("http2: connection closed by this end")
)

// ErrCode is the error code of a RST_STREAM or GOAWAY frame (RFC 9113, section 7).
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

// ConnError is a protocol violation by the peer that ends the connection. The GOAWAY frame sent to the peer carries
// its code, and its reason as debug data.
type ConnError struct {
	Code   ErrCode
	Reason string
}

func (e *ConnError) Error() string {
	return fmt.Sprintf("http2: connection error %v: %s", e.Code, e.Reason)
}

// connError returns a *ConnError. Frame handlers return it, and readFrames then ends the connection.
func connError(code ErrCode, format string, args ...any) error {
	return &ConnError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// StreamError is the error of a stream that ended before both ends had sent END_STREAM.
type StreamError struct {
	Code        ErrCode
	Reason      string
	Remote      bool  // the peer ended the stream, by RST_STREAM or GOAWAY
	ConnLost    bool  // the connection ended while the stream was open
	Unprocessed bool  // the peer guarantees that it has not processed the stream (RFC 9113, sections 6.8 and 8.7)
	Err         error // if ConnLost: the error that ended the connection
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

// Unwrap returns the error that ended the connection if ConnLost is set, else nil.
func (e *StreamError) Unwrap() error { return e.Err }
