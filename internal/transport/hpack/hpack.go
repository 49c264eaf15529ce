// Package hpack implements HPACK, the header compression of HTTP/2 (RFC 7541). An [Encoder] or a [Decoder] holds the
// state of one direction of one connection and is not safe for concurrent use. Callers may keep decoded strings; the
// package does not retain the blocks passed to it.
package hpack

import "errors"

// Field is a header field. Sensitive fields are encoded as never-indexed literals (RFC 7541, section 7.1.3).
type Field struct {
	Name, Value string
	Sensitive   bool
}

// fieldOverhead is the number of bytes that a field counts in addition to its name and value (RFC 7541, section 4.1).
const fieldOverhead = 32

// Size returns the size in bytes that the field counts as in a dynamic table or a header list (RFC 7541, section 4.1).
func (f Field) Size() int { return len(f.Name) + len(f.Value) + fieldOverhead }

// Errors returned when decoding a header block. After ErrHeaderListTooLarge the decoder's state is intact. After any
// other one the dynamic tables of the two ends may differ, which is a connection error of type COMPRESSION_ERROR.
var (
	ErrTruncated          = errors.New("hpack: block ends within a field")
	ErrInvalidIndex       = errors.New("hpack: index outside the tables")
	ErrIntegerOverflow    = errors.New("hpack: integer too large")
	ErrTableSizeUpdate    = errors.New("hpack: table size update larger than allowed, or behind a field")
	ErrHeaderListTooLarge = errors.New("hpack: header list larger than allowed")

	errInvalidHuffman = errors.New("hpack: invalid Huffman code")
)

// The first bits of each representation, and the length in bits of the integer prefix after them (RFC 7541, section 6).
const (
	patternIndexed         = 0x80
	patternIncremental     = 0x40 // literal with incremental indexing
	patternSizeUpdate      = 0x20 // dynamic table size update
	sizeUpdateMask         = 0xe0
	patternNeverIndexed    = 0x10 // literal never indexed
	patternWithoutIndexing = 0x00 // literal without indexing
	patternHuffman         = 0x80 // string literal, Huffman coded (section 5.2)

	prefixBitsIndexed     = 7
	prefixBitsIncremental = 6
	prefixBitsSizeUpdate  = 5
	prefixBitsLiteral     = 4 // without indexing, or never indexed
	prefixBitsString      = 7
)
