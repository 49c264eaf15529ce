// Package hpack implements HPACK, the header compression of HTTP/2 (RFC 7541). An [Encoder] and a [Decoder]
// hold the state of one direction of one connection and belong to one goroutine at a time. Decoded strings
// may be kept; blocks passed in are not kept.
package hpack

import "errors"

// Field is one header field. Sensitive fields are never indexed (RFC 7541, section 7.1.3).
type Field struct {
	Name, Value string
	Sensitive   bool
}

// fieldOverhead is what a field counts beyond its bytes.
const fieldOverhead = 32

// Size returns the bytes that the field counts in a table or a header list (RFC 7541, section 4.1).
func (f Field) Size() int { return len(f.Name) + len(f.Value) + fieldOverhead }

// Errors of a header block. Each is a COMPRESSION_ERROR of the connection, as the tables of the two ends no
// longer agree, except ErrHeaderListTooLarge, after which the decoder's state is intact.
var (
	ErrTruncated          = errors.New("hpack: block ends within a field")
	ErrInvalidIndex       = errors.New("hpack: index outside the tables")
	ErrIntegerOverflow    = errors.New("hpack: integer too large")
	ErrTableSizeUpdate    = errors.New("hpack: table size update larger than allowed, or behind a field")
	ErrHeaderListTooLarge = errors.New("hpack: header list larger than allowed")

	errInvalidHuffman = errors.New("hpack: invalid Huffman code")
)

// The first bits of each representation, and the length in bits of the integer behind them (RFC 7541, section
// 6).
const (
	patternIndexed         = 0x80
	patternIncremental     = 0x40 // literal with incremental indexing
	patternSizeUpdate      = 0x20 // dynamic table size update
	sizeUpdateMask         = 0xe0
	patternNeverIndexed    = 0x10 // literal never indexed
	patternWithoutIndexing = 0x00 // literal without indexing
	patternHuffman         = 0x80 // of a string literal

	prefixBitsIndexed     = 7
	prefixBitsIncremental = 6
	prefixBitsSizeUpdate  = 5
	prefixBitsLiteral     = 4 // without indexing, or never indexed
	prefixBitsString      = 7
)
