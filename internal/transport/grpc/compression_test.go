package grpc

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/klauspost/compress/gzip"
)

// compressMessage returns a message with its prefix, compressed by gzip.
func compressMessage(t *testing.T, body []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	b.Write(make([]byte, PrefixLen))
	w := gzip.NewWriter(&b)
	if _, err := w.Write(body); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	message := b.Bytes()
	AppendPrefix(message[:0], len(message)-PrefixLen, true)
	return message
}

func TestCompression(t *testing.T) {
	body := []byte(strings.Repeat("steam and beans ", 1000))
	message := compressMessage(t, body)
	if len(message) > 500 {
		t.Fatalf("%d bytes", len(message))
	}
	if got, err := MessageBody(message, "gzip", 1<<20); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	// A small message that expands to a large one is not expanded beyond the limit.
	if _, err := MessageBody(message, "gzip", 1000); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("beyond the limit: %v", err)
	}
	if _, err := MessageBody(message, "identity", 1<<20); err == nil {
		t.Error("a compressed message without an encoding is accepted")
	}
	if _, err := MessageBody(message[:30], "gzip", 1<<20); err == nil {
		t.Error("truncated gzip is accepted")
	}
}
