package testsupport

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/klauspost/compress/gzip"
)

const (
	grpcPrefixLen  = 5 // one byte for the compressed flag and four for the length
	grpcCompressed = 1 // value of the flag for a compressed message
)

// CompressGRPCMessage returns a gRPC message, consisting of a prefix and the gzip-compressed body.
func CompressGRPCMessage(t testing.TB, body []byte) []byte {
	t.Helper()
	var message bytes.Buffer
	message.Write(make([]byte, grpcPrefixLen))
	w := gzip.NewWriter(&message)
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	prefix := message.Bytes()[:grpcPrefixLen]
	prefix[0] = grpcCompressed
	binary.BigEndian.PutUint32(prefix[1:], uint32(message.Len()-grpcPrefixLen))
	return message.Bytes()
}
