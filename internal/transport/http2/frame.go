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
	frameRSTStream
	frameSettings
	framePushPromise
	framePing
	frameGoAway
	frameWindowUpdate
	frameContinuation
)

// The flags of frames.
const (
	flagEndStream  = 0x1 // END_STREAM
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

var errCodeNames = [...]string{"NO_ERROR", "PROTOCOL_ERROR", "INTERNAL_ERROR", "FLOW_CONTROL_ERROR",
	"SETTINGS_TIMEOUT", "STREAM_CLOSED", "FRAME_SIZE_ERROR", "REFUSED_STREAM", "CANCEL", "COMPRESSION_ERROR",
	"CONNECT_ERROR", "ENHANCE_YOUR_CALM", "INADEQUATE_SECURITY", "HTTP_1_1_REQUIRED"}

func (c ErrCode) String() string {
	if int(c) < len(errCodeNames) {
		return errCodeNames[c]
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
	Code        ErrCode
	Reason      string
	Remote      bool // the peer reset it
	ConnLost    bool // the connection was lost with the stream on it
	Unprocessed bool // the peer promises that it did not process it (RFC 9113, sections 6.8 and 8.7)
}

func (e *StreamError) Error() string {
	who := "stream error"
	switch {
	case e.ConnLost:
		who = "connection lost"
	case e.Remote:
		who = "reset by peer"
	}
	return fmt.Sprintf("http2: %s: %v: %s", who, e.Code, e.Reason)
}

const (
	clientPreface               = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderLen              = 9
	defaultWindowSize           = 65535
	minMaxFrameSize             = 16384
	maxWindowSize               = 1<<31 - 1
	assumedMaxStreams           = 100 // what a client assumes until the peer's SETTINGS came
	settingHeaderTableSize      = 1
	settingEnablePush           = 2
	settingMaxConcurrentStreams = 3
	settingInitialWindowSize    = 4
	settingMaxFrameSize         = 5
	settingMaxHeaderListSize    = 6
)

// header is a frame's first nine bytes.
type frameHeader struct {
	length   int
	typ      frameType
	flags    uint8
	streamID uint32
}

// parseHeader reads a frame header; b holds nine bytes or more.
func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{
		length:   int(b[0])<<16 | int(b[1])<<8 | int(b[2]),
		typ:      frameType(b[3]),
		flags:    b[4],
		streamID: binary.BigEndian.Uint32(b[5:]) & maxWindowSize, // the reserved bit is ignored
	}
}

func appendFrameHeader(dst []byte, h frameHeader) []byte {
	return append(dst, byte(h.length>>16), byte(h.length>>8), byte(h.length), byte(h.typ), h.flags,
		byte(h.streamID>>24), byte(h.streamID>>16), byte(h.streamID>>8), byte(h.streamID))
}

func appendUint32(dst []byte, n uint32) []byte { return binary.BigEndian.AppendUint32(dst, n) }

type setting struct {
	id    uint16
	value uint32
}

func appendSettings(dst []byte, settings []setting) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: 6 * len(settings), typ: frameSettings})
	for _, s := range settings {
		dst = binary.BigEndian.AppendUint16(dst, s.id)
		dst = appendUint32(dst, s.value)
	}
	return dst
}

// unpad strips the padding of DATA and HEADERS (RFC 9113, section 6.1).
func stripPadding(h frameHeader, payload []byte) ([]byte, error) {
	if h.flags&flagPadded == 0 {
		return payload, nil
	}
	if len(payload) == 0 {
		return nil, connError(FrameSizeError, "padded frame without a pad length")
	}
	padLength := int(payload[0])
	if payload = payload[1:]; padLength > len(payload) {
		return nil, connError(ProtocolError, "padding of %d bytes in a frame of %d", padLength, h.length)
	}
	return payload[:len(payload)-padLength], nil
}
