package grpcserver

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/gzip"

	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// compressMessage returns a gRPC message with its prefix, compressed by gzip.
func compressMessage(t *testing.T, body []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	b.Write(make([]byte, grpc.PrefixLen))
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	message := b.Bytes()
	grpc.AppendPrefix(message[:0], len(message)-grpc.PrefixLen, true)
	return message
}
