package grpc

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
)

func TestCompression(t *testing.T) {
	body := []byte(strings.Repeat("steam and beans ", 1000))
	message := testsupport.CompressGRPCMessage(t, body)
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
