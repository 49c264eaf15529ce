// Package http2 is HTTP/2 (RFC 9113) for the gateway's own use: both ends of a connection over netpoll, with
// frames, header blocks, streams and flow control in both directions. Server push and priorities are left
// out, as gRPC needs neither.
//
// A [Conn] reads on one goroutine at a time, on which it calls the [Receiver] of each stream; it writes from
// a buffer that any goroutine may fill and one goroutine at a time empties. Bytes handed to a Receiver are
// the connection's and good until the call returns; bytes handed to Write are copied before it returns.
package http2

import (
	"encoding/binary"
	"fmt"
)

// frameType is a frame's type (RFC 9113, section 6).
type frameType uint8

const (
	frameData frameType = iota
	frameHeaders
	framePriority
	frameReset
	frameSettings
	framePush
	framePing
	frameGoAway
	frameWindow
	frameContinuation
)

// The flags of frames.
const (
	flagEnd        = 0x1 // END_STREAM
	flagAck        = 0x1 // of SETTINGS and PING
	flagEndHeaders = 0x4
	flagPadded     = 0x8
	flagPriority   = 0x20
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

var codeNames = [...]string{"NO_ERROR", "PROTOCOL_ERROR", "INTERNAL_ERROR", "FLOW_CONTROL_ERROR",
	"SETTINGS_TIMEOUT", "STREAM_CLOSED", "FRAME_SIZE_ERROR", "REFUSED_STREAM", "CANCEL", "COMPRESSION_ERROR",
	"CONNECT_ERROR", "ENHANCE_YOUR_CALM", "INADEQUATE_SECURITY", "HTTP_1_1_REQUIRED"}

func (c ErrCode) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// ConnError ends a connection: the peer is told by GOAWAY.
type ConnError struct {
	Code   ErrCode
	Reason string
	Remote bool // the peer's word, rather than ours
}

func (e *ConnError) Error() string {
	if e.Remote {
		return fmt.Sprintf("http2: peer ended the connection: %v: %s", e.Code, e.Reason)
	}
	return fmt.Sprintf("http2: connection error %v: %s", e.Code, e.Reason)
}

func connError(code ErrCode, format string, args ...any) error {
	return &ConnError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// StreamError tells how a stream ended early.
type StreamError struct {
	Code     ErrCode
	Reason   string
	Remote   bool // the peer reset it
	Lost     bool // the connection was lost with the stream on it
	NeverRan bool // the peer promises that it did not process it (RFC 9113, sections 6.8 and 8.7)
}

func (e *StreamError) Error() string {
	who := "stream error"
	switch {
	case e.Lost:
		who = "connection lost"
	case e.Remote:
		who = "reset by peer"
	}
	return fmt.Sprintf("http2: %s: %v: %s", who, e.Code, e.Reason)
}

const (
	preface         = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	headerLen       = 9
	initialWindow   = 65535
	minFrame        = 16384
	maxWindow       = 1<<31 - 1
	defaultStreams  = 100 // what a client assumes until the peer's SETTINGS came
	settingTable    = 1
	settingPush     = 2
	settingStreams  = 3
	settingWindow   = 4
	settingFrame    = 5
	settingListSize = 6
)

// header is a frame's first nine bytes.
type header struct {
	length int
	typ    frameType
	flags  uint8
	stream uint32
}

// parseHeader reads a frame header; b holds nine bytes or more.
func parseHeader(b []byte) header {
	return header{
		length: int(b[0])<<16 | int(b[1])<<8 | int(b[2]),
		typ:    frameType(b[3]),
		flags:  b[4],
		stream: binary.BigEndian.Uint32(b[5:]) & maxWindow, // the reserved bit is ignored
	}
}

func appendHeader(dst []byte, h header) []byte {
	return append(dst, byte(h.length>>16), byte(h.length>>8), byte(h.length), byte(h.typ), h.flags,
		byte(h.stream>>24), byte(h.stream>>16), byte(h.stream>>8), byte(h.stream))
}

func appendUint32(dst []byte, n uint32) []byte { return binary.BigEndian.AppendUint32(dst, n) }

type setting struct {
	id    uint16
	value uint32
}

func appendSettings(dst []byte, list []setting) []byte {
	dst = appendHeader(dst, header{length: 6 * len(list), typ: frameSettings})
	for _, s := range list {
		dst = binary.BigEndian.AppendUint16(dst, s.id)
		dst = appendUint32(dst, s.value)
	}
	return dst
}

// unpad strips the padding of DATA and HEADERS (RFC 9113, section 6.1).
func unpad(h header, p []byte) ([]byte, error) {
	if h.flags&flagPadded == 0 {
		return p, nil
	}
	if len(p) == 0 {
		return nil, connError(FrameSizeError, "padded frame without a pad length")
	}
	pad := int(p[0])
	if p = p[1:]; pad > len(p) {
		return nil, connError(ProtocolError, "padding of %d bytes in a frame of %d", pad, h.length)
	}
	return p[:len(p)-pad], nil
}
