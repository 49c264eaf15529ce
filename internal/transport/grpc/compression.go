package grpc

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
)

// Message encodings, the values of grpc-encoding.
const (
	encodingIdentity = "identity"
	encodingGzip     = "gzip"
)

// AcceptedEncodings lists the message encodings that this package decodes, as the value of grpc-accept-encoding.
const AcceptedEncodings = encodingIdentity + "," + encodingGzip

// IsKnownEncoding reports whether this package decodes messages with the given grpc-encoding. "" means that the field
// is absent.
func IsKnownEncoding(encoding string) bool {
	return encoding == "" || encoding == encodingIdentity || encoding == encodingGzip
}

// gzipReaders is a pool of *gzip.Reader.
var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

// MessageBody returns the uncompressed body of a message, which is passed with its prefix. The body is a slice of the
// message unless that is compressed. If a compressed message expands to more than limit bytes, the error is
// ErrMessageTooLarge.
func MessageBody(message []byte, encoding string, limit int) ([]byte, error) {
	if len(message) < PrefixLen {
		return nil, ErrTruncatedMessage
	}
	if message[0] == 0 {
		return message[PrefixLen:], nil
	}
	if encoding != encodingGzip {
		return nil, fmt.Errorf("grpc: compressed message with grpc-encoding %q", encoding)
	}
	reader, _ := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(reader)
	if err := reader.Reset(bytes.NewReader(message[PrefixLen:])); err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("grpc: gzip: %w", err)
	}
	if len(body) > limit { // guards against a small message that expands to a large one
		return nil, fmt.Errorf("%w: over %d bytes unpacked", ErrMessageTooLarge, limit)
	}
	return body, nil
}
