package http2

import "encoding/binary"

// clientPreface is the first part of the client's connection preface (RFC 9113, section 3.4).
const clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// frameType is the type of a frame (RFC 9113, section 6).
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

// Frame flags (RFC 9113, section 6).
const (
	flagEndStream  = 0x1
	flagAck        = 0x1 // of SETTINGS and PING
	flagEndHeaders = 0x4
	flagPadded     = 0x8
	flagPriority   = 0x20
)

// Lengths in bytes of frame payloads and of their fixed parts (RFC 9113, sections 4 and 6).
const (
	frameHeaderLen  = 9
	priorityLen     = 5
	rstStreamLen    = 4
	settingLen      = 6
	pingLen         = 8
	goAwayMinLen    = 8
	windowUpdateLen = 4
)

// Limits and defaults of the protocol.
const (
	defaultWindowSize = 65535
	maxWindowSize     = 1<<31 - 1
	minMaxFrameSize   = 16384
	maxMaxFrameSize   = 1<<24 - 1
	maxStreamID       = 1<<31 - 1 // also the mask that removes the reserved bit above a stream ID
)

// frameHeader is the header of a frame (RFC 9113, section 4.1).
type frameHeader struct {
	length   int // of the payload, in bytes
	typ      frameType
	flags    uint8
	streamID uint32
}

// parseFrameHeader parses a frame header. b has at least frameHeaderLen bytes.
func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{
		length:   int(b[0])<<16 | int(b[1])<<8 | int(b[2]),
		typ:      frameType(b[3]),
		flags:    b[4],
		streamID: binary.BigEndian.Uint32(b[5:]) & maxStreamID, // the reserved bit is ignored
	}
}

func appendFrameHeader(dst []byte, h frameHeader) []byte {
	return append(dst, byte(h.length>>16), byte(h.length>>8), byte(h.length), byte(h.typ), h.flags,
		byte(h.streamID>>24), byte(h.streamID>>16), byte(h.streamID>>8), byte(h.streamID))
}

func appendUint32(dst []byte, n uint32) []byte { return binary.BigEndian.AppendUint32(dst, n) }

func appendRSTStream(dst []byte, streamID uint32, code ErrCode) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: rstStreamLen, typ: frameRSTStream, streamID: streamID})
	return appendUint32(dst, uint32(code))
}

// appendWindowUpdate appends a WINDOW_UPDATE frame. Stream 0 stands for the connection.
func appendWindowUpdate(dst []byte, streamID, increment uint32) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: windowUpdateLen, typ: frameWindowUpdate, streamID: streamID})
	return appendUint32(dst, increment)
}

// appendPing appends a PING frame. data has pingLen bytes.
func appendPing(dst []byte, flags uint8, data []byte) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: pingLen, typ: framePing, flags: flags})
	return append(dst, data...)
}

// appendGoAway appends a GOAWAY frame with reason as its debug data.
func appendGoAway(dst []byte, lastStreamID uint32, code ErrCode, reason string) []byte {
	dst = appendFrameHeader(dst, frameHeader{length: goAwayMinLen + len(reason), typ: frameGoAway})
	dst = appendUint32(dst, lastStreamID)
	dst = appendUint32(dst, uint32(code))
	return append(dst, reason...)
}

// stripPadding returns the payload of a DATA or HEADERS frame without its padding (RFC 9113, section 6.1).
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
